"""Encodes the changes that gossip carries.

These are member records, changes of targets, and suspect requests.

A change is encoded once, by the node that makes it, and forwarded unchanged.
"""

import functools
from typing import Any

from thriftpy2 import protocol
from thriftpy2 import transport

from endivewind.decisions import poison_requests
from endivewind.nodes import codec
from endivewind.nodes import membership
from endivewind.nodes import view
from endivewind.targets import records

Change = (
    membership.MemberRecord
    | records.TargetChange
    | poison_requests.SuspectRequest
)


@functools.singledispatch
def encode(change: Change) -> bytes:
    """Encodes a change in thrift's binary form."""
    raise TypeError(f"no encoding for {type(change).__name__}")


@encode.register
def _(change: membership.MemberRecord) -> bytes:
    return write_struct(codec.messages.Change(member=encode_member(change)))


@encode.register
def _(change: records.TargetChange) -> bytes:
    target = encode_target(change.record)
    target.home = change.record.home
    target.home_incarnation = change.record.home_incarnation
    if change.is_removal:
        target.gone = True
    return write_struct(codec.messages.Change(target=target))


@encode.register
def _(change: poison_requests.SuspectRequest) -> bytes:
    return write_struct(codec.messages.Change(suspect=encode_suspect(change)))


# A node receives each change about a dozen times; the cache avoids decoding it
# again.
@functools.lru_cache(maxsize=2048)
def decode(payload: bytes) -> Change | None:
    """Decodes a change.

    Returns:
      The change, or None if it is of a kind added in a later release.

    Raises:
      codec.FrameError: if the bytes are not a valid change.
    """
    change = read_struct(payload, codec.messages.Change())
    try:
        if change.member:
            return decode_member(change.member)
        if change.target:
            target = change.target
            if not target.gone and not has_slots(target):
                raise ValueError("target without slots")
            record = decode_target(target, target.home, target.home_incarnation)
            return records.TargetChange(record, bool(target.gone))
        if change.suspect:
            return decode_suspect(change.suspect)
    except (TypeError, ValueError) as error:
        raise codec.FrameError(str(error)) from error
    return None


def encode_member(record: membership.MemberRecord) -> Any:
    """Converts a member record to a thrift struct."""
    node = record.node
    return codec.messages.Member(
        name=node.name,
        incarnation=node.incarnation,
        refutation=record.refutation,
        state=int(record.state),
        address=node.address,
        region=node.region,
        zone=node.zone,
    )


def decode_member(member: Any) -> membership.MemberRecord:
    """Converts a thrift struct to a member record."""
    if not (member.name and member.address and member.incarnation):
        raise ValueError("member without name, address or incarnation")
    node = view.NodeRecord(
        member.name,
        member.incarnation,
        member.address,
        member.region or "",
        member.zone or "",
    )
    state = membership.State(member.state)
    return membership.MemberRecord(node, member.refutation or 0, state)


def encode_suspect(record: poison_requests.SuspectRequest) -> Any:
    """Converts the record of a suspect request to a thrift struct."""
    return codec.messages.SuspectRequest(
        fingerprint=record.fingerprint,
        generation=record.generation,
        cleared=record.is_cleared or None,
        failed_trials=record.failed_trials or None,
    )


def decode_suspect(suspect: Any) -> poison_requests.SuspectRequest:
    """Converts a thrift struct to the record of a suspect request."""
    if not suspect.fingerprint:
        raise ValueError("suspect request without a fingerprint")
    return poison_requests.SuspectRequest(
        codec.to_bytes(suspect.fingerprint),
        max(0, suspect.generation or 0),
        bool(suspect.cleared),
        max(0, suspect.failed_trials or 0),
    )


def encode_target(record: records.TargetRecord) -> Any:
    """Converts a target record to a thrift struct without its home."""
    return codec.messages.TargetChange(
        sequence=record.sequence,
        id=record.id,
        service_name=record.service,
        slots=record.slots,
        weight=record.weight,
        state=record.state.value,
        health=record.health.value,
        target_incarnation=record.target_incarnation,
        moves=record.moves,
        # Fields that are None take no bytes; most targets are not cold.
        cold_ms=record.cold_ms or None,
    )


def has_slots(target: Any) -> bool:
    """Returns whether a thrift struct of a target has a slot at least.

    Entry nodes divide by the number of slots, in every choice of a target.
    """
    return (target.slots or 0) > 0


def decode_target(
    target: Any, home: str, incarnation: int
) -> records.TargetRecord:
    """Converts a thrift struct to a target record.

    The region and zone stay empty; the view adds those of the home.
    """
    if not (target.id and target.service_name and home):
        raise ValueError("target without id, service or home")
    return records.TargetRecord(
        id=target.id,
        service=target.service_name,
        home=home,
        home_incarnation=incarnation,
        sequence=target.sequence,
        region="",
        zone="",
        slots=target.slots,
        weight=target.weight,
        state=records.State(target.state),
        health=records.EjectionStatus(target.health),
        target_incarnation=target.target_incarnation or 0,
        moves=target.moves or 0,
        cold_ms=max(0, target.cold_ms or 0),
    )


def write_struct(struct: Any) -> bytes:
    """Encodes a thrift struct in thrift's binary form."""
    buffer = transport.TCyMemoryBuffer()
    protocol.TCyBinaryProtocol(buffer).write_struct(struct)
    payload: bytes = buffer.getvalue()
    return payload


def read_struct(payload: bytes, struct: Any) -> Any:
    """Decodes bytes into a thrift struct and returns it.

    Raises:
      codec.FrameError: if the bytes are not such a struct.
    """
    buffer = transport.TCyMemoryBuffer(payload)
    try:
        protocol.TCyBinaryProtocol(buffer).read_struct(struct)
    except Exception as error:
        # thriftpy2 raises many exception types on invalid bytes.
        raise codec.FrameError(str(error)) from error
    return struct
