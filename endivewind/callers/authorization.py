"""Whether a caller may use a route: by the key that its request bears.

The listener asks here when it routes a request and before it is admitted.
"""

import collections.abc
import dataclasses
import datetime

from endivewind import exchange
from endivewind.callers import calls
from endivewind.callers import workspaces
from endivewind.config import objects

# Proofs come several times a second where the platform is reached.
UNPROVED_RETRY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Doubts:
    """What this node may not know of the configuration.

    Attributes:
      missing: what it does not know yet; None once it knows all.
      is_proved: whether what it knows was the newest a short while ago, so
        that work which needs a key may be served.
    """

    missing: collections.abc.Callable[[], str | None]
    is_proved: collections.abc.Callable[[], bool] = lambda: True


def identify(call: calls.Call, known: workspaces.Workspaces) -> None:
    """Finds whose request it is, where workspaces have keys.

    Called each time that it is routed: a request that waited for the first
    configuration came before any key was known here.
    """
    if known.have_keys:
        call.identify(known.holder(call.key))


def refusal(
    call: calls.Call, route: objects.Route, doubts: Doubts
) -> exchange.Refusal | None:
    """A refusal unless the route is open or the call's key surely in force."""
    if not call.is_keyed or route.anonymous:
        return None
    if not call.workspace:
        detail = "this route needs a key that a workspace holds"
        return call.refuse(exchange.Reason.UNAUTHENTICATED, detail)
    if doubts.is_proved():
        return None
    # The key may have been taken away since; another node, or this one in a
    # moment, can tell.
    detail = "no proof that the configuration in force is the newest"
    return call.refuse(exchange.Reason.NOT_READY, detail, UNPROVED_RETRY)
