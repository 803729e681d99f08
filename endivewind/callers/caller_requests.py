"""Callers' requests as the listener handles them, and their conventions.

The listener creates a `CallerRequest` for each HTTP request, and uses
`CallerConventions` to map headers between callers and targets.
"""

import asyncio
import dataclasses
import datetime
import os

from aiohttp import web
import multidict

from endivewind import exchange
from endivewind import headers
from endivewind.callers import memory_control
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import objects

_MAX_REQUEST_ID_LENGTH = 128
_REQUEST_ID_BYTES = 16
# Headers that only the fleet may set; removed from targets' responses.
_RESERVED_HEADERS = (headers.OUTCOME, headers.REASON)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerConventions:
    """The headers and options by which callers use this node.

    Attributes:
      header_names: The names of the headers.
      caller_service: The service on this VM, which is passed to targets as the
        caller; empty if there is none.
      uses_tickets: Whether requests that are not idempotent need a ticket;
        otherwise they are identified by their request id.
    """

    header_names: headers.HeaderNames = headers.DEFAULT_NAMES
    caller_service: str = ""
    uses_tickets: bool = True


class CallerRequest:
    """One request of a caller, with what routing has added to it so far."""

    def __init__(
        self, request: web.BaseRequest, conventions: CallerConventions
    ) -> None:
        self.request = request
        self._conventions = conventions
        self.request_id = _request_id(request, conventions.header_names)
        self.workspace = request.headers.get(headers.WORKSPACE, "")
        # Whether the workspace is that of the request's key, not of its header.
        # Then it is empty if the key is missing or unknown.
        self.has_checked_key = False
        self.ticket = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        self.is_non_idempotent = False
        self.route: objects.Route
        self.service = ""
        self.body = exchange.RequestBody()
        self.deadline = datetime.timedelta()
        # Whether it was passed on, so that a target may have received it.
        self.is_forwarded = False
        # Set if the node's memory is bounded.
        self.memory: memory_control.Reservation | None = None

    def assign_workspace(self, workspace: str) -> None:
        """Sets the workspace that its key belongs to; empty if to none."""
        self.workspace = workspace
        self.has_checked_key = True

    @property
    def has_valid_key(self) -> bool:
        """Whether it carries the key of a workspace, and keys are required."""
        return self.has_checked_key and bool(self.workspace)

    @property
    def authorization(self) -> str:
        """The value of its Authorization header."""
        return self.request.headers.get(headers.AUTHORIZATION, "")

    @property
    def needs_ticket(self) -> bool:
        """Whether it is not idempotent and so needs a ticket."""
        return self.is_non_idempotent and self._conventions.uses_tickets

    @property
    def deduplication_id(self) -> str:
        """The id by which homes recognize duplicates: its ticket or request id.

        Used only if the request is not idempotent.
        """
        return (
            self.ticket if self._conventions.uses_tickets else self.request_id
        )

    @property
    def host(self) -> str:
        """The requested host without its port."""
        return _strip_port(self.request.headers.get("Host", ""))

    @property
    def path(self) -> str:
        """The path and query as sent, without scheme and host."""
        path = self.request.raw_path
        return (
            path if path.startswith("/") else self.request.rel_url.raw_path_qs
        )

    @property
    def addresses(self) -> tuple[str, str]:
        """The IP addresses of the caller and of this node's end, if known."""
        transport = self.request.transport
        if transport is None:
            return "", ""
        peer = transport.get_extra_info("peername")
        own = transport.get_extra_info("sockname")
        return (peer[0] if peer else ""), (own[0] if own else "")

    def remaining(self) -> datetime.timedelta:
        """Returns the time left until the deadline, at least 1 ms."""
        return max(
            self.deadline - loop_time(), datetime.timedelta(milliseconds=1)
        )

    def refuse(
        self,
        reason: exchange.Reason,
        detail: str,
        retry_after: datetime.timedelta | None = None,
    ) -> exchange.Refusal:
        """Returns a refusal of this request by the entry node."""
        refusal = exchange.not_run_refusal(reason, detail, retry_after)
        if (
            self._conventions.uses_tickets
            and tickets.parse(self.ticket) is not None
        ):
            refusal = ticketing.with_unknown_outcome(refusal)
        return refusal


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderFilter:
    """Selects the headers to forward to a target, and adds those of the node.

    Attributes:
      dropped_names: The headers that are not forwarded, as bytes in lower
        case because every header is looked up here.
      key_name: The header with the caller's key, which is not forwarded where
        workspaces have keys.
      request_id_name: The header with the request id.
      added_headers: Headers that the node adds to every request.
    """

    dropped_names: frozenset[bytes]
    key_name: bytes
    request_id_name: bytes
    added_headers: exchange.HeaderList

    @classmethod
    def from_conventions(cls, conventions: CallerConventions) -> "HeaderFilter":
        """Returns the filter for callers with these conventions."""
        names = conventions.header_names
        fleet_headers = (
            names.request_id,
            names.caller_service,
            names.expected_target,
            names.workspace,
        )
        dropped = frozenset(
            name.lower().encode()
            for name in (*headers.HOP_BY_HOP, "expect", *fleet_headers)
            if name
        )
        added: exchange.HeaderList = ()
        if names.caller_service and conventions.caller_service:
            name = names.caller_service.encode()
            added = ((name, conventions.caller_service.encode()),)
        key = headers.AUTHORIZATION.lower().encode()
        return cls(dropped, key, names.request_id.encode(), added)

    def apply(
        self,
        raw: exchange.HeaderList,
        request_id: str,
        *,
        drop_key: bool = False,
    ) -> exchange.HeaderList:
        """Returns the headers for a target; its home adds the workspace."""
        dropped_by_request = [self.key_name] if drop_key else []
        dropped_by_request += [
            token.strip().lower()
            for name, value in raw
            if name.lower() == b"connection"
            for token in value.split(b",")
        ]
        dropped = (
            self.dropped_names.union(dropped_by_request)
            if dropped_by_request
            else self.dropped_names
        )
        forwarded = [item for item in raw if item[0].lower() not in dropped]
        forwarded.append((self.request_id_name, request_id.encode()))
        forwarded.extend(self.added_headers)
        return tuple(forwarded)


def response_headers(
    response: exchange.Response, call: CallerRequest, names: headers.HeaderNames
) -> multidict.CIMultiDict[str]:
    """Returns the headers of a response as they are sent to the caller."""
    fields = multidict.CIMultiDict(
        [
            (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
            for name, value in response.headers
        ]
    )
    for name in _RESERVED_HEADERS:
        fields.popall(name, None)
    fields[names.request_id] = call.request_id
    return fields


def loop_time() -> datetime.timedelta:
    """Returns the time of the running event loop."""
    return datetime.timedelta(seconds=asyncio.get_running_loop().time())


def _strip_port(host_header: str) -> str:
    """Returns a Host header without its port."""
    if host_header.endswith("]"):
        return host_header
    host, colon, _ = host_header.rpartition(":")
    return host if colon else host_header


def _request_id(request: web.BaseRequest, names: headers.HeaderNames) -> str:
    given_id = request.headers.get(names.request_id, "")
    is_short_ascii = (
        0 < len(given_id) <= _MAX_REQUEST_ID_LENGTH and given_id.isascii()
    )
    return (
        given_id
        if is_short_ascii and given_id.isprintable()
        else new_request_id()
    )


def new_request_id() -> str:
    """Returns an id for a request that has none."""
    return os.urandom(_REQUEST_ID_BYTES).hex()
