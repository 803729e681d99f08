"""What nodes send each other to spread and repair what the fleet knows."""

import dataclasses

from endivewind.decisions import peer_updates
from endivewind.nodes import digests
from endivewind.nodes import membership
from endivewind.nodes import view


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram of gossip.

    Attributes:
      sender: name of the sender.
      summary: digest of all that the sender knows.
      ping: number to answer; 0 for none.
      ack: number answered; 0 for none.
      relay: the node to ping for the sender; empty for none.
      changes: encoded changes.
      buckets: digests of the sender's records by bucket.
      compared: the buckets that versions covers in full.
      versions: the sender's versions in those buckets.
      news: for the nodes of the sender's zone.
    """

    sender: str
    summary: int
    ping: int = 0
    ack: int = 0
    relay: str = ""
    changes: tuple[bytes, ...] = ()
    buckets: tuple[int, ...] = ()
    compared: tuple[int, ...] = ()
    versions: tuple[digests.Version, ...] = ()
    news: peer_updates.PeerUpdate = peer_updates.EMPTY_UPDATE


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """Part of what the sender knows.

    Attributes:
      sender: the node that answers.
      members: nodes that it knows.
      homes: their targets.
      last: whether this ends the answer to a pull.
      left: targets of the asking node, with their starts, that have told an
        earlier start of it that they leave.
    """

    sender: str
    members: tuple[membership.MemberRecord, ...]
    homes: tuple[view.HomeState, ...]
    last: bool = False
    left: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Asks for some nodes' records; names empty asks for all."""

    sender: str
    address: str
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message to send: datagrams by UDP, the rest by a link."""

    address: str
    message: Datagram | FleetState | Pull
