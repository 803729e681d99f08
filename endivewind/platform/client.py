"""Client of the platform's store: get, list, put, delete, watch."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import logging
import socket
from typing import Any
from typing import TypeVar
import urllib.parse

import aiohttp
import expression
import pydantic

from endivewind import clock as clocks
from endivewind.durable import retries
from endivewind.platform import messages
from endivewind.platform import names
from endivewind.platform import wire

log = logging.getLogger(__name__)

# The store answers in some milliseconds; a region's round trip is 60 ms.
CALL_TIMEOUT = datetime.timedelta(seconds=3)
# The store holds a watch for 30 s at most.
WATCH_WAIT = datetime.timedelta(seconds=30)
# An answer of the store is about 1 MB at most; no genuine one is longer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# A connection that has gone silent shows by this: a watch waits for half a
# minute and would hear of no change all the while.
_IDLE_BEFORE_PROBE = datetime.timedelta(seconds=2)
_PROBE_GAP = datetime.timedelta(seconds=1)
_LOST_PROBES = 2
_SECOND = datetime.timedelta(seconds=1)
# After every name that an object may have.
_LAST_NAME = "~"

AnswerT = TypeVar("AnswerT")
Decode = collections.abc.Callable[[bytes], AnswerT]

_FAILURES = {
    404: messages.Failure.NOT_FOUND,
    409: messages.Failure.CONFLICT,
    410: messages.Failure.COMPACTED,
    429: messages.Failure.THROTTLED,
}


def session() -> aiohttp.ClientSession:
    """A session whose connections find out when they have gone silent."""
    connector = aiohttp.TCPConnector(socket_factory=_probing_socket)
    return aiohttp.ClientSession(connector=connector)


def _probing_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _IDLE_BEFORE_PROBE // _SECOND),
        (socket.TCP_KEEPINTVL, _PROBE_GAP // _SECOND),
        (socket.TCP_KEEPCNT, _LOST_PROBES),
    ):
        made.setsockopt(socket.IPPROTO_TCP, option, value)
    return made


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a call does, for counting.

    Attributes:
      word: get, list, watch, put, post or delete.
      kind: of the objects that it is about.
    """

    word: str
    kind: str


class PlatformClient:
    """Calls the store; every failure is a value, none is raised.

    Calls keep to a budget, a waiting watch counting as one.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._clock = clock or clocks.SystemClock()
        self._budget = retries.CallBudget()
        self._calls: collections.Counter[Call] = collections.Counter()

    @property
    def calls(self) -> collections.abc.Mapping[Call, int]:
        """Calls made since the start; each is paid for."""
        return self._calls

    @property
    def budget(self) -> retries.CallBudget:
        """The calls that this process may make."""
        return self._budget

    def move(self, url: str) -> None:
        """Calls the store at another address from the next call on."""
        self._url = url.rstrip("/")

    async def get(
        self, kind: str, name: str
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Reads one object."""
        found = await self._call(
            "GET", _object(kind, name), lambda body: wire.object_in(kind, body)
        )
        return _named(found, kind, name)

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Reads all objects of a kind.

        The revision is that of the first part read, so that a watch from it
        tells every change that a later part may have missed.

        Args:
          kind: which objects.
          stale: whether a state of some seconds ago will do; such a call
            costs a tenth, and a watch from its revision catches up.
        """
        query = {"allow_stale": 1} if stale else {}
        objects: list[messages.StoredObject] = []
        revision: int | None = None
        path = _kind(kind, **query)
        while True:
            found = await self._call(
                "GET", path, lambda body: wire.page_in(kind, body)
            )
            if found.is_error():
                return expression.Error(found.error)
            page = found.ok
            objects.extend(page.objects)
            revision = page.revision if revision is None else revision
            if not page.has_more or not page.objects:
                break
            path = _kind(kind, **query, after=page.objects[-1].name)
        listing = messages.Listing(revision=revision, objects=tuple(objects))
        return expression.Ok(listing)

    async def revision(
        self, kind: str
    ) -> expression.Result[int, messages.PlatformError]:
        """The store's revision now: equal to an earlier one, nothing changed.

        Asked for as the rest of a listing that has none, which costs a call
        but no bytes. A watch will not do: it may be cut off from changes.
        """
        found = await self._call(
            "GET",
            _kind(kind, after=_LAST_NAME),
            lambda body: wire.page_in(kind, body),
        )
        return found.map(lambda page: page.revision)

    async def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Writes one object if its version is still the expected one.

        Args:
          kind: the object's kind.
          name: the object's name.
          value: the new JSON value.
          expected: version read before; 0 where the object must not exist.

        Returns:
          The object as written. UNAVAILABLE and INVALID leave open whether
          it was; writing.write() resolves that.
        """
        method, path = "PUT", _object(kind, name)
        if not expected:
            method, path = "POST", _kind(kind)
        written = await self._call(
            method,
            path,
            lambda body: wire.object_in(kind, body),
            wire.object_out(name, value, expected or None),
        )
        written = _named(written, kind, name)
        if written.is_ok() and written.ok.value != value:
            return _error(messages.Failure.INVALID, "another value")
        return written

    async def delete(
        self, kind: str, name: str, expected: int
    ) -> expression.Result[None, messages.PlatformError]:
        """Deletes one object if its version is still the expected one."""
        path = _object(kind, name, revision=expected)
        return await self._call("DELETE", path, lambda body: None)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait: datetime.timedelta = WATCH_WAIT,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Waits for changes of a kind's objects after a revision.

        Returns:
          What has changed, empty when the wait ran out; a removed object has
          an empty value. COMPACTED asks for a new listing.
        """
        wait_ms = wait // datetime.timedelta(milliseconds=1)
        return await self._call(
            "GET",
            _kind(kind, watch=revision, wait_ms=wait_ms),
            lambda body: wire.events_in(kind, body),
            timeout=wait + CALL_TIMEOUT,
        )

    async def _call(
        self,
        method: str,
        path: str,
        decode: Decode[AnswerT],
        value: dict[str, Any] | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> expression.Result[AnswerT, messages.PlatformError]:
        if not await self._admitted():
            return _error(messages.Failure.THROTTLED, "call budget used up")
        self._calls[_call_of(method, path)] += 1
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=None if value is None else wire.bytes_out(value),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                body = await _bounded(response)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = str(error) or type(error).__name__
            return _error(messages.Failure.UNAVAILABLE, detail)
        finally:
            self._budget.end()
        if body is None:
            return _error(messages.Failure.INVALID, "the answer is too long")
        if response.status >= 400:
            return _refused(response, path, body)
        try:
            return expression.Ok(decode(body))
        except pydantic.ValidationError as error:
            return _error(messages.Failure.INVALID, wire.problem_line(error))

    async def _admitted(self) -> bool:
        """Waits for the budget, but no longer than a call may take."""
        waited = datetime.timedelta()
        while waited <= CALL_TIMEOUT:
            wait = self._budget.start(self._clock.monotonic())
            if not wait:
                return True
            waited += wait
            if waited <= CALL_TIMEOUT:
                await asyncio.sleep(wait.total_seconds())
        return False


def _call_of(method: str, path: str) -> Call:
    plain, _, query = path.partition("?")
    _, _, kind, *name = plain.split("/")
    word = method.lower()
    if method == "GET" and not name:
        word = "watch" if "watch=" in query else "list"
    return Call(word, kind)


def _kind(kind: str, **query: Any) -> str:
    path = names.OBJECTS_PATH.format(kind=urllib.parse.quote(kind, safe=""))
    return path + ("?" + urllib.parse.urlencode(query) if query else "")


def _object(kind: str, name: str, **query: Any) -> str:
    quoted = urllib.parse.quote(name, safe="")
    path = names.OBJECT_PATH.format(
        kind=urllib.parse.quote(kind, safe=""), name=quoted
    )
    return path + ("?" + urllib.parse.urlencode(query) if query else "")


async def _bounded(response: aiohttp.ClientResponse) -> bytes | None:
    """The whole body; None if it is longer than any genuine one."""
    parts: list[bytes] = []
    total = 0
    async for part in response.content.iter_any():
        total += len(part)
        if total > MAX_ANSWER_BYTES:
            response.close()
            return None
        parts.append(part)
    return b"".join(parts)


def _error(
    failure: messages.Failure,
    detail: str,
    current: messages.StoredObject | None = None,
    retry_after: datetime.timedelta | None = None,
) -> expression.Result[Any, messages.PlatformError]:
    return expression.Error(
        messages.PlatformError(failure, detail, current, retry_after)
    )


def _named(
    found: expression.Result[messages.StoredObject, messages.PlatformError],
    kind: str,
    name: str,
) -> expression.Result[messages.StoredObject, messages.PlatformError]:
    """Refuses the answer to another call, as crossed connections give it."""
    if found.is_ok() and found.ok.name != name:
        seen = f"{kind}/{found.ok.name}"
        return _error(messages.Failure.INVALID, f"asked otherwise, got {seen}")
    return found


def _refused(
    response: aiohttp.ClientResponse, path: str, body: bytes
) -> expression.Result[Any, messages.PlatformError]:
    failure = _FAILURES.get(response.status)
    detail = f"status {response.status}"
    if failure is None:
        kind = (
            messages.Failure.UNAVAILABLE
            if response.status >= 500
            else messages.Failure.INVALID
        )
        return _error(kind, detail)
    current = None
    if failure is messages.Failure.CONFLICT:
        try:
            named = urllib.parse.unquote(path.split("/")[2])
            current = wire.object_in(named, body)
        except pydantic.ValidationError as error:
            log.debug(
                "a conflict without its object: %s", wire.problem_line(error)
            )
    return _error(failure, detail, current, _retry_after(response))


def _retry_after(
    response: aiohttp.ClientResponse,
) -> datetime.timedelta | None:
    given = response.headers.get("Retry-After", "")
    if not (given.isascii() and given.isdigit() and len(given) < 5):
        return None
    return datetime.timedelta(seconds=int(given))
