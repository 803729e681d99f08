"""One request of a caller, and how callers speak."""

import asyncio
import dataclasses
import datetime
import os

from aiohttp import web
import multidict

from endivewind import exchange
from endivewind import headers
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import objects

_MAX_ID = 128
_ID_BYTES = 16
# What only the system may say to a caller.
_OWN_FIELDS = (headers.OUTCOME, headers.REASON)


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """How callers speak to this node.

    Attributes:
      names: the headers that they use.
      caller_service: the service on this VM, which targets are told; empty
        where there is none.
      tickets: whether work that must not repeat needs a ticket; else the id
        of each request names it.
    """

    names: headers.HeaderNames = headers.DEFAULT_NAMES
    caller_service: str = ""
    tickets: bool = True


class Call:
    """One request of a caller, and what is known of it so far."""

    def __init__(self, request: web.BaseRequest, dialect: Dialect) -> None:
        self.request = request
        self._dialect = dialect
        self.request_id = _request_id(request, dialect.names)
        self.workspace = request.headers.get(headers.WORKSPACE, "")
        # Whether its workspace is the holder of its key, not what it says.
        self.is_keyed = False
        self.ticket = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        self.once = False
        self.route: objects.Route
        self.service = ""
        self.body = exchange.RequestBody()
        self.deadline = datetime.timedelta()

    def identify(self, holder: str) -> None:
        """Takes whose key it bears, empty if nobody's."""
        self.workspace = holder
        self.is_keyed = True

    @property
    def key(self) -> str:
        """What it sends to show whose it is."""
        return self.request.headers.get(headers.AUTHORIZATION, "")

    @property
    def ticketed(self) -> bool:
        """Whether it must not repeat and needs a ticket."""
        return self.once and self._dialect.tickets

    @property
    def work_name(self) -> str:
        """What names its work at the homes, if it must not repeat."""
        return self.ticket if self._dialect.tickets else self.request_id

    @property
    def host(self) -> str:
        """The host that it asks for, without a port."""
        return _host(self.request.headers.get("Host", ""))

    @property
    def path(self) -> str:
        """Path and query as sent, without scheme and host."""
        path = self.request.raw_path
        return (
            path if path.startswith("/") else self.request.rel_url.raw_path_qs
        )

    def remaining(self) -> datetime.timedelta:
        """Time left until the deadline; never zero."""
        return max(self.deadline - now(), datetime.timedelta(milliseconds=1))

    def refuse(
        self,
        reason: exchange.Reason,
        detail: str,
        retry_after: datetime.timedelta | None = None,
    ) -> exchange.Refusal:
        """A refusal of this send by the entry."""
        refusal = exchange.not_run(reason, detail, retry_after)
        if self._dialect.tickets and tickets.parse(self.ticket) is not None:
            refusal = ticketing.unconfirmed(refusal)
        return refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Which headers of a request go on to a target.

    Attributes:
      dropped: as bytes in lower case, since every header is compared.
      key: where callers send their key; dropped where workspaces have keys.
      request_id: name of the request's id.
      added: what the system itself says to every target.
    """

    dropped: frozenset[bytes]
    key: bytes
    request_id: bytes
    added: exchange.HeaderList

    @classmethod
    def from_dialect(cls, dialect: Dialect) -> "RequestFields":
        """The fields for callers that speak so."""
        names = dialect.names
        own = (
            names.request_id,
            names.caller_service,
            names.expected_target,
            names.workspace,
        )
        dropped = frozenset(
            name.lower().encode()
            for name in (*headers.HOP_BY_HOP, "expect", *own)
            if name
        )
        added: exchange.HeaderList = ()
        if names.caller_service and dialect.caller_service:
            name = names.caller_service.encode()
            added = ((name, dialect.caller_service.encode()),)
        key = headers.AUTHORIZATION.lower().encode()
        return cls(dropped, key, names.request_id.encode(), added)

    def forwarded(
        self,
        raw: exchange.HeaderList,
        request_id: str,
        *,
        drop_key: bool = False,
    ) -> exchange.HeaderList:
        """The headers that a target gets; its home adds the workspace."""
        named = [self.key] if drop_key else []
        named += [
            token.strip().lower()
            for name, value in raw
            if name.lower() == b"connection"
            for token in value.split(b",")
        ]
        dropped = self.dropped.union(named) if named else self.dropped
        kept = [item for item in raw if item[0].lower() not in dropped]
        kept.append((self.request_id, request_id.encode()))
        kept.extend(self.added)
        return tuple(kept)


def headers_out(
    answer: exchange.Response, call: Call, names: headers.HeaderNames
) -> multidict.CIMultiDict[str]:
    """The headers of an answer as the caller gets them."""
    fields = multidict.CIMultiDict(
        [
            (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
            for name, value in answer.headers
        ]
    )
    for name in _OWN_FIELDS:
        fields.popall(name, None)
    fields[names.request_id] = call.request_id
    return fields


def now() -> datetime.timedelta:
    """Time of the running loop."""
    return datetime.timedelta(seconds=asyncio.get_running_loop().time())


def _host(field: str) -> str:
    """The Host field without its port."""
    if field.endswith("]"):
        return field
    host, colon, _ = field.rpartition(":")
    return host if colon else field


def _request_id(request: web.BaseRequest, names: headers.HeaderNames) -> str:
    given = request.headers.get(names.request_id, "")
    usable = 0 < len(given) <= _MAX_ID and given.isascii()
    return given if usable and given.isprintable() else new_request_id()


def new_request_id() -> str:
    """An id for a request that brought none."""
    return os.urandom(_ID_BYTES).hex()
