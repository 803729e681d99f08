"""UDP for gossip: thrift datagrams, signed where a key is set."""

import asyncio
import collections.abc
import hmac
import logging
from typing import Any
from typing import cast
import zlib

from endivewind import exchange
from endivewind.decisions import peer_updates
from endivewind.decisions import retries
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import digests
from endivewind.nodes import gossip_messages
from endivewind.nodes import traffic
from endivewind.nodes import view

log = logging.getLogger(__name__)

_SIGNATURE_BYTES = 16
_PLAIN = b"\x00"
_PACKED = b"\x01"
# Shorter ones gain nothing.
_WORTH_PACKING = 200
_FAST = 1
_THOUSAND = 1000
# Several times what any datagram of ours holds.
_MOST_UNPACKED = 65_536

Received = collections.abc.Callable[[str, gossip_messages.Datagram], None]


def encode(datagram: gossip_messages.Datagram, key: bytes = b"") -> bytes:
    """A datagram as bytes, after its signature where there is a key."""
    struct = codec.messages.Datagram(
        sender=datagram.sender,
        summary=datagram.summary,
        ping=datagram.ping or None,
        ack=datagram.ack or None,
        relay=datagram.relay or None,
        changes=list(datagram.changes) or None,
        buckets=list(datagram.buckets) or None,
        compared=list(datagram.compared) or None,
        versions=[_version_out(item) for item in datagram.versions] or None,
        conditions=[
            _condition_out(item) for item in datagram.news.target_updates
        ]
        or None,
        tallies=[_tally_out(item) for item in datagram.news.retry_usages]
        or None,
        ways=[
            codec.messages.IngressRoute(item.service, item.prefix)
            for item in datagram.news.ingress_routes
        ]
        or None,
    )
    payload = _pack(changes.write(struct))
    return _sign(payload, key) + payload if key else payload


def decode(data: bytes, key: bytes = b"") -> gossip_messages.Datagram:
    """A datagram from bytes.

    Without the signature anybody who can send UDP to a node could have its
    peers taken for dead; a wrong one counts as no message at all.

    Raises:
      codec.FrameError: the bytes are not a datagram, or not signed right.
    """
    payload = data
    if key:
        signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _sign(payload, key)):
            raise codec.FrameError("wrong signature")
    struct = changes.read(_unpack(payload), codec.messages.Datagram())
    if not struct.sender:
        raise codec.FrameError("a datagram without sender")
    try:
        return gossip_messages.Datagram(
            struct.sender,
            struct.summary or 0,
            ping=struct.ping or 0,
            ack=struct.ack or 0,
            relay=struct.relay or "",
            changes=tuple(_bytes(item) for item in struct.changes or ()),
            buckets=tuple(struct.buckets or ()),
            compared=tuple(struct.compared or ()),
            versions=tuple(_version_in(item) for item in struct.versions or ()),
            news=peer_updates.PeerUpdate(
                tuple(_condition_in(item) for item in struct.conditions or ()),
                tuple(_tally_in(item) for item in struct.tallies or ()),
                tuple(_way_in(item) for item in struct.ways or ()),
            ),
        )
    except (TypeError, ValueError) as error:
        raise codec.FrameError(str(error)) from error


def _pack(payload: bytes) -> bytes:
    """The payload after a byte that tells whether it is compressed.

    Records of a fleet repeat names of zones, services and nodes; a datagram
    of several is half as long, and its bytes are paid for between zones.
    """
    if len(payload) < _WORTH_PACKING:
        return _PLAIN + payload
    return _PACKED + zlib.compress(payload, _FAST)


def _unpack(data: bytes) -> bytes:
    mark, payload = data[:1], data[1:]
    if mark == _PLAIN:
        return payload
    if mark != _PACKED:
        raise codec.FrameError("neither plain nor packed")
    unpacker = zlib.decompressobj()
    try:
        return unpacker.decompress(payload, _MOST_UNPACKED)
    except zlib.error as error:
        raise codec.FrameError(str(error)) from error


def _sign(payload: bytes, key: bytes) -> bytes:
    return hmac.digest(key, payload, "sha256")[:_SIGNATURE_BYTES]


def _bytes(item: Any) -> bytes:
    # thriftpy2 reads binary fields as text where they happen to be UTF-8.
    return item.encode() if isinstance(item, str) else bytes(item)


def _version_out(version: digests.Version) -> Any:
    incarnation, refutation, state = version.member
    return codec.messages.Version(
        name=version.name,
        incarnation=incarnation,
        refutation=refutation,
        state=int(state),
        home_incarnation=version.home.incarnation,
        sequence=version.home.sequence,
    )


def _version_in(version: Any) -> digests.Version:
    return digests.Version(
        version.name,
        (version.incarnation, version.refutation, version.state),
        view.HomeVersion(version.home_incarnation, version.sequence),
    )


def _condition_out(condition: peer_updates.TargetUpdate) -> Any:
    return codec.messages.TargetUpdate(
        target=condition.target,
        load=condition.status.load,
        suspicion=round(_THOUSAND * condition.status.suspicion),
    )


def _condition_in(condition: Any) -> peer_updates.TargetUpdate:
    if not condition.target:
        raise ValueError("a condition without its target")
    suspicion = min(max(0, condition.suspicion or 0), _THOUSAND)
    load = max(0, condition.load or 0)
    glance = exchange.TargetStatus(load, suspicion / _THOUSAND)
    return peer_updates.TargetUpdate(condition.target, glance)


def _tally_out(tally: peer_updates.RetryUsage) -> Any:
    return codec.messages.RetryUsage(
        service_name=tally.service,
        requests=tally.counts.requests,
        retries=tally.counts.retries,
    )


def _tally_in(tally: Any) -> peer_updates.RetryUsage:
    if not tally.service_name:
        raise ValueError("a tally without its service")
    requests = max(0, tally.requests or 0)
    count = retries.RequestCounts(requests, max(0, tally.retries or 0))
    return peer_updates.RetryUsage(tally.service_name, count)


def _way_in(way: Any) -> peer_updates.IngressRoute:
    if not way.service_name:
        raise ValueError("a way without its service")
    return peer_updates.IngressRoute(way.service_name, way.prefix or "")


def _kind(datagram: gossip_messages.Datagram) -> traffic.Kind:
    """What most of a datagram is for."""
    if datagram.news:
        return traffic.Kind.NEWS
    return traffic.Kind.CHANGES if datagram.changes else traffic.Kind.PROBES


class DatagramSocket(asyncio.DatagramProtocol):
    """A node's UDP socket, at the address of its listener for nodes."""

    def __init__(
        self,
        received: Received,
        key: bytes = b"",
        meter: traffic.Meter | None = None,
    ) -> None:
        self._received = received
        self._key = key
        self._meter = meter or traffic.Unmetered()
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0
        self._received_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Payload bytes sent so far."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Payload bytes received so far."""
        return self._received_bytes

    async def start(self, host: str, port: int) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: str, datagram: gossip_messages.Datagram) -> None:
        """Sends a datagram; UDP may lose it, and gossip lives with that."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        data = encode(datagram, self._key)
        self._sent_bytes += len(data)
        self._meter.sent(_kind(datagram), address, len(data))
        self._transport.sendto(data, (host.strip("[]"), int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the bound transport."""
        # uvloop's transport is one in all but its base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Takes one datagram, or drops it if it is not one of ours."""
        self._received_bytes += len(data)
        host = f"[{addr[0]}]" if ":" in addr[0] else addr[0]
        try:
            datagram = decode(data, self._key)
        except codec.FrameError as error:
            log.warning("datagram from %s dropped: %s", host, error)
            return
        self._received(f"{host}:{addr[1]}", datagram)

    def error_received(self, exc: Exception) -> None:
        """A send failed; the next probe tells who is away."""
        log.debug("datagram not sent: %s", exc)
