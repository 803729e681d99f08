"""Sends and receives gossip datagrams over UDP.

A datagram is a thrift struct, compressed if it is large, and authenticated by
a truncated HMAC if the fleet has a key.
"""

import asyncio
import collections.abc
import hmac
import logging
from typing import Any
from typing import cast
import zlib

from endivewind import exchange
from endivewind.decisions import peer_updates
from endivewind.decisions import retry_budget
from endivewind.decisions import retry_priorities
from endivewind.nodes import admission_messages
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import digests
from endivewind.nodes import gossip_messages
from endivewind.nodes import traffic
from endivewind.nodes import view

log = logging.getLogger(__name__)

_SIGNATURE_BYTES = 16
_UNCOMPRESSED = b"\x00"
_COMPRESSED = b"\x01"
# Compression does not make smaller payloads shorter.
_MIN_COMPRESSED_BYTES = 200
_COMPRESSION_LEVEL = 1
_SUSPICION_SCALE = 1000
# Limits the memory for a malicious datagram; several times the content of any
# datagram that a node sends.
_MAX_DECOMPRESSED_BYTES = 65_536

DatagramHandler = collections.abc.Callable[
    [str, gossip_messages.Datagram], None
]


def encode(datagram: gossip_messages.Datagram, key: bytes = b"") -> bytes:
    """Encodes a datagram, preceded by its signature if there is a key."""
    struct = codec.messages.Datagram(
        sender=datagram.sender,
        summary=datagram.summary,
        ping=datagram.ping_number or None,
        ack=datagram.ack_number or None,
        relay=datagram.node_to_ping or None,
        changes=list(datagram.changes) or None,
        buckets=list(datagram.buckets) or None,
        compared=list(datagram.compared_buckets) or None,
        versions=[_encode_version(item) for item in datagram.versions] or None,
        conditions=[
            _encode_target_update(item)
            for item in datagram.peer_update.target_updates
        ]
        or None,
        tallies=[
            _encode_retry_usage(item)
            for item in datagram.peer_update.retry_usages
        ]
        or None,
        ways=[
            codec.messages.EntryRoute(item.service, item.prefix)
            for item in datagram.peer_update.entry_routes
        ]
        or None,
        demands=[
            admission_messages.encode_demand(item)
            for item in datagram.peer_update.demands
        ]
        or None,
        admission_levels=[
            admission_messages.encode_level(item)
            for item in datagram.peer_update.admission_levels
        ]
        or None,
        suspects=datagram.suspects_digest or None,
    )
    payload = _compress(changes.write_struct(struct))
    return _sign(payload, key) + payload if key else payload


def decode(data: bytes, key: bytes = b"") -> gossip_messages.Datagram:
    """Decodes a datagram, and verifies its signature if there is a key.

    Without a signature anyone who can send UDP packets to a node could have
    any node of the fleet declared dead.

    Raises:
      codec.FrameError: if the bytes are not a valid datagram, or the signature
        is missing or wrong.
    """
    payload = data
    if key:
        signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _sign(payload, key)):
            raise codec.FrameError("wrong signature")
    struct = changes.read_struct(
        _decompress(payload), codec.messages.Datagram()
    )
    if not struct.sender:
        raise codec.FrameError("datagram without a sender")
    try:
        return gossip_messages.Datagram(
            struct.sender,
            struct.summary or 0,
            ping_number=struct.ping or 0,
            ack_number=struct.ack or 0,
            node_to_ping=struct.relay or "",
            changes=tuple(
                codec.to_bytes(item) for item in struct.changes or ()
            ),
            buckets=tuple(struct.buckets or ()),
            compared_buckets=tuple(struct.compared or ()),
            versions=tuple(
                _decode_version(item) for item in struct.versions or ()
            ),
            peer_update=peer_updates.PeerUpdate(
                tuple(
                    _decode_target_update(item)
                    for item in struct.conditions or ()
                ),
                tuple(
                    _decode_retry_usage(item) for item in struct.tallies or ()
                ),
                tuple(_decode_entry_route(item) for item in struct.ways or ()),
                tuple(
                    admission_messages.decode_demand(item)
                    for item in struct.demands or ()
                ),
                tuple(
                    admission_messages.decode_level(item)
                    for item in struct.admission_levels or ()
                ),
            ),
            suspects_digest=struct.suspects or 0,
        )
    except (TypeError, ValueError) as error:
        raise codec.FrameError(str(error)) from error


def _compress(payload: bytes) -> bytes:
    """Compresses a payload if it is large enough, and adds a marker byte.

    Records repeat the names of zones, services and nodes, so compression
    halves a datagram with several of them. Bytes between zones are billed.
    """
    if len(payload) < _MIN_COMPRESSED_BYTES:
        return _UNCOMPRESSED + payload
    return _COMPRESSED + zlib.compress(payload, _COMPRESSION_LEVEL)


def _decompress(data: bytes) -> bytes:
    marker, payload = data[:1], data[1:]
    if marker == _UNCOMPRESSED:
        return payload
    if marker != _COMPRESSED:
        raise codec.FrameError("unknown compression marker")
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(payload, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise codec.FrameError(str(error)) from error


def _sign(payload: bytes, key: bytes) -> bytes:
    return hmac.digest(key, payload, "sha256")[:_SIGNATURE_BYTES]


def _encode_version(version: digests.Version) -> Any:
    incarnation, refutation, state = version.precedence
    return codec.messages.Version(
        name=version.name,
        incarnation=incarnation,
        refutation=refutation,
        state=int(state),
        home_incarnation=version.home_version.incarnation,
        sequence=version.home_version.sequence,
    )


def _decode_version(version: Any) -> digests.Version:
    return digests.Version(
        version.name,
        (version.incarnation, version.refutation, version.state),
        view.HomeVersion(version.home_incarnation, version.sequence),
    )


def _encode_target_update(update: peer_updates.TargetUpdate) -> Any:
    return codec.messages.TargetUpdate(
        target=update.target,
        load=update.report.load,
        suspicion=round(_SUSPICION_SCALE * update.report.suspicion),
    )


def _decode_target_update(update: Any) -> peer_updates.TargetUpdate:
    if not update.target:
        raise ValueError("target update without a target")
    suspicion = min(max(0, update.suspicion or 0), _SUSPICION_SCALE)
    load = max(0, update.load or 0)
    report = exchange.TargetReport(load, suspicion / _SUSPICION_SCALE)
    return peer_updates.TargetUpdate(update.target, report)


def _encode_retry_usage(usage: peer_updates.RetryUsage) -> Any:
    return codec.messages.RetryUsage(
        service_name=usage.service,
        requests=usage.counts.requests,
        retries=usage.counts.retries,
        demands=[
            codec.messages.RetryDemand(item.queue_priority, item.wanted)
            for item in usage.demands
        ]
        or None,
    )


def _decode_retry_usage(usage: Any) -> peer_updates.RetryUsage:
    if not usage.service_name:
        raise ValueError("retry usage without a service")
    requests = max(0, usage.requests or 0)
    count = retry_budget.RequestCounts(requests, max(0, usage.retries or 0))
    demands = tuple(
        retry_priorities.RetryDemand(item.level or 0, max(0, item.wanted or 0))
        for item in usage.demands or ()
    )
    return peer_updates.RetryUsage(usage.service_name, count, demands)


def _decode_entry_route(route: Any) -> peer_updates.EntryRoute:
    if not route.service_name:
        raise ValueError("entry route without a service")
    return peer_updates.EntryRoute(route.service_name, route.prefix or "")


def _traffic_kind(datagram: gossip_messages.Datagram) -> traffic.Kind:
    """Returns the traffic kind that a datagram's bytes are counted as."""
    if datagram.peer_update:
        return traffic.Kind.PEER_UPDATES
    return traffic.Kind.CHANGES if datagram.changes else traffic.Kind.PROBES


class DatagramSocket(asyncio.DatagramProtocol):
    """A node's UDP socket, on the same address as its link server."""

    def __init__(
        self,
        handler: DatagramHandler,
        key: bytes = b"",
        meter: traffic.Meter | None = None,
    ) -> None:
        self._handler = handler
        self._key = key
        self._meter = meter or traffic.NullMeter()
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0
        self._received_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Payload bytes sent since the start."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Payload bytes received since the start."""
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
        """Sends a datagram; gossip tolerates that UDP may lose it."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        data = encode(datagram, self._key)
        self._sent_bytes += len(data)
        self._meter.record_sent(_traffic_kind(datagram), address, len(data))
        self._transport.sendto(data, (host.strip("[]"), int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the bound socket."""
        # uvloop's transport has the same methods but not the base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Passes on a datagram, or drops it if it is not valid."""
        self._received_bytes += len(data)
        host = f"[{addr[0]}]" if ":" in addr[0] else addr[0]
        try:
            datagram = decode(data, self._key)
        except codec.FrameError as error:
            log.warning("datagram from %s dropped: %s", host, error)
            return
        self._handler(f"{host}:{addr[1]}", datagram)

    def error_received(self, exc: Exception) -> None:
        """Logs a failed send; probes detect nodes that can't be reached."""
        log.debug("datagram not sent: %s", exc)
