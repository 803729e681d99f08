"""Messages of gossip: datagrams, and pulls and states sent over links."""

import dataclasses

from endivewind.decisions import peer_updates
from endivewind.nodes import digests
from endivewind.nodes import membership
from endivewind.nodes import view


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """A gossip datagram.

    Attributes:
      sender: name of the sending node.
      summary: digest of all records that the sender knows.
      ping_number: number of a ping to acknowledge; 0 for none.
      ack_number: number of the ping that is acknowledged; 0 for none.
      node_to_ping: name of the node to ping on behalf of the sender; empty for
        none.
      changes: encoded member records, target changes and suspect requests.
      buckets: digests of the sender's records by bucket.
      compared_buckets: indexes of the buckets whose versions are attached. An
        index of no bucket marks a part of a bucket.
      versions: the sender's versions of all nodes in these buckets, or of some
        nodes of a bucket that is too large for a datagram.
      peer_update: update for nodes of the sender's zone or region.
      suspects_digest: digest of the suspect requests that the sender knows; 0
        if it knows none.
    """

    sender: str
    summary: int
    ping_number: int = 0
    ack_number: int = 0
    node_to_ping: str = ""
    changes: tuple[bytes, ...] = ()
    buckets: tuple[int, ...] = ()
    compared_buckets: tuple[int, ...] = ()
    versions: tuple[digests.Version, ...] = ()
    peer_update: peer_updates.PeerUpdate = peer_updates.EMPTY_UPDATE
    suspects_digest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatePart:
    """A part of the sender's state.

    Attributes:
      sender: name of the node that sends its state.
      members: member records that it knows.
      homes: the targets of these members.
      is_last: whether this part completes the response to a pull, and the
        sender has joined the fleet.
      departed_targets: ids and incarnations of targets that announced their
        departure to an earlier incarnation of the node that asks.
    """

    sender: str
    members: tuple[membership.MemberRecord, ...]
    homes: tuple[view.HomeState, ...]
    is_last: bool = False
    departed_targets: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """A request for the records of some nodes.

    Attributes:
      sender: name of the node that asks.
      address: its listener, to which the state is sent.
      names: the nodes whose records are requested; empty for all.
    """

    sender: str
    address: str
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and its receiver: datagrams go by UDP, others by a link."""

    address: str
    message: Datagram | StatePart | Pull
