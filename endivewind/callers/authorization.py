"""Authentication of callers by API key, and authorization to use a route.

The listener calls this when it routes a request and before it admits it.
"""

import collections.abc
import dataclasses
import datetime

from endivewind import exchange
from endivewind.callers import caller_requests
from endivewind.callers import workspaces
from endivewind.config import objects

# While the platform is reachable, a node confirms several times a second that
# its configuration is the newest, so a retry after a second usually finds it
# confirmed.
STALE_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """Whether this node's configuration is complete and up to date.

    Attributes:
      missing: returns a description of what has not been loaded yet, or None if
        the configuration is complete.
      is_fresh: whether the configuration was confirmed to be the newest a short
        time ago, so that requests that need a key may be served.
    """

    missing: collections.abc.Callable[[], str | None]
    is_fresh: collections.abc.Callable[[], bool] = lambda: True


def identify(
    call: caller_requests.CallerRequest, known_workspaces: workspaces.Workspaces
) -> None:
    """Authenticates a request by its key, if keys are required.

    Called each time the request is routed, which may be several times: a
    request that waits for the node's first configuration is routed again once
    the keys have been loaded.
    """
    if known_workspaces.requires_keys:
        call.assign_workspace(known_workspaces.authenticate(call.authorization))


def check_access(
    call: caller_requests.CallerRequest,
    route: objects.Route,
    status: ConfigurationStatus,
) -> exchange.Refusal | None:
    """Returns a refusal, or None if the request is authorized.

    A request is authorized if this node requires no keys, if its route allows
    anonymous requests, or if its key is valid according to a configuration
    that is known to be up to date.
    """
    if not call.has_checked_key or route.anonymous:
        return None
    if not call.workspace:
        detail = "this route requires a workspace's API key"
        return call.refuse(exchange.Reason.UNAUTHENTICATED, detail)
    if status.is_fresh():
        return None
    # The key may have been revoked since the configuration was last confirmed.
    # The caller may retry: another node may have the newest configuration, or
    # this node may have it shortly.
    detail = "the configuration may be out of date"
    return call.refuse(exchange.Reason.NOT_READY, detail, STALE_RETRY_AFTER)
