"""Names of the platform: paths, kinds of objects, and HTTP headers."""

from endivewind import headers

# Kind and name of the object that holds the whole configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# This project's own objects, one for each node: all of one kind, or of a kind
# for each availability zone.
NODE_KIND = "node"
ZONE_NODE_KIND = "node-{zone}"

READY_PATH = "/ready"
HEARTBEAT_PATH = "/Instances.Heartbeat/{id}"
DEREGISTER_PATH = "/Instances.Deregister/{id}"

OBJECTS_PATH = "/objects/{kind}"
OBJECT_PATH = "/objects/{kind}/{name}"

# The HTTP headers of the platform's callers and targets.
HEADERS = headers.HeaderNames(
    request_id="X-Attempt-Id",
    timeout_ms="X-Deadline-Ms",
    caller_service="X-Caller-Service",
    expected_target="X-Expect-Instance",
    not_run="X-Not-Executed",
    workspace="X-Tenant-Id",
    response_marker="X-Response-Stamp",
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
)
