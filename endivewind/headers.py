"""Names of the HTTP headers that endivewind reads and writes."""

import dataclasses

WORKSPACE = "Endivewind-Workspace"
AUTHORIZATION = "Authorization"
OUTCOME = "Endivewind-Outcome"
REASON = "Endivewind-Reason"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_MS = "Endivewind-Timeout-Ms"
REQUEST_ID = "Endivewind-Request-Id"
RATE_LIMIT = "Endivewind-Rate-Limit"
LEAVING = "Endivewind-Leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Headers whose names depend on the platform that the fleet runs on.

    Attributes:
      request_id: the request's id; callers may choose it.
      timeout_ms: the sender's time-out in milliseconds.
      caller_service: the service that runs on the entry node's VM; only the
        fleet may set it. Empty if targets don't receive it.
      expected_target: id of the target that a request is meant for; any other
        target rejects it unexecuted. Empty if targets don't support it.
      not_run: in a response, states that the target did not execute the
        request. Empty if targets never send it.
      workspace: the caller's workspace, as sent to targets.
      response_marker: in a response, shows that the target itself wrote it.
        Empty if targets don't send it.
      rate_limit: in a response, the requests per second that the target accepts
        from all nodes together, as a decimal number.
      leaving: in a response, "1" if the target is about to stop.
    """

    request_id: str = REQUEST_ID
    timeout_ms: str = TIMEOUT_MS
    caller_service: str = ""
    expected_target: str = ""
    not_run: str = ""
    workspace: str = WORKSPACE
    response_marker: str = ""
    rate_limit: str = RATE_LIMIT
    leaving: str = LEAVING


DEFAULT_NAMES = HeaderNames()

# RFC 9110, section 7.6.1: hop-by-hop headers, which a proxy does not forward.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
