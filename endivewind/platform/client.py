"""Client of the platform's object store: get, list, put, delete and watch.

Writes are conditional on an object's version (optimistic concurrency). All
parts of a node that read or write the store share one client and its call
budget.
"""

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
from endivewind import http_responses
from endivewind.durable import retries
from endivewind.platform import messages
from endivewind.platform import names
from endivewind.platform import wire

log = logging.getLogger(__name__)

# The store responds within milliseconds; a round trip between regions takes
# 60 ms.
CALL_TIMEOUT = datetime.timedelta(seconds=3)
# The store holds a watch open for at most 30 s.
WATCH_TIMEOUT = datetime.timedelta(seconds=30)
# Genuine responses of the store are at most about 1 MB long.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

# TCP keepalive detects dead connections. A watch waits for half a minute and
# would otherwise miss every change during that time.
_KEEPALIVE_IDLE_TIME = datetime.timedelta(seconds=2)
_KEEPALIVE_INTERVAL = datetime.timedelta(seconds=1)
_MAX_LOST_KEEPALIVES = 2
_SECOND = datetime.timedelta(seconds=1)
# Not an object's name: it sorts after every valid one.
_LAST_NAME = "~"

DecodedT = TypeVar("DecodedT")
_StoredT = TypeVar("_StoredT", bound=messages.StoredObject | None)
Decode = collections.abc.Callable[[bytes], DecodedT]

_FAILURES = {
    404: messages.FailureReason.NOT_FOUND,
    409: messages.FailureReason.CONFLICT,
    410: messages.FailureReason.COMPACTED,
    429: messages.FailureReason.THROTTLED,
}


def make_session() -> aiohttp.ClientSession:
    """Makes an HTTP session that detects dead connections by keepalive.

    The heads of responses are checked, see `http_responses`.
    """
    connector = http_responses.Connector(socket_factory=_make_keepalive_socket)
    return aiohttp.ClientSession(connector=connector)


def _make_keepalive_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    keepalive_socket = socket.socket(family, kind, protocol)
    keepalive_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_TIME // _SECOND),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL // _SECOND),
        (socket.TCP_KEEPCNT, _MAX_LOST_KEEPALIVES),
    ):
        keepalive_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return keepalive_socket


@dataclasses.dataclass(frozen=True, slots=True)
class CallLabels:
    """Labels under which calls are counted.

    Attributes:
      word: the operation: get, list, watch, put, post or delete.
      kind: the kind of objects that the call reads or writes.
    """

    word: str
    kind: str


class PlatformClient:
    """Calls the store; failures are returned as values, not raised.

    The number of calls is limited by a budget. A waiting watch counts as a
    call in progress.
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
        self._calls: collections.Counter[CallLabels] = collections.Counter()

    @property
    def call_counts(self) -> collections.abc.Mapping[CallLabels, int]:
        """Numbers of calls since the start; the platform bills each call."""
        return self._calls

    @property
    def budget(self) -> retries.CallBudget:
        """The limit on the calls of this process."""
        return self._budget

    def set_url(self, url: str) -> None:
        """Sets the store's address for all further calls."""
        self._url = url.rstrip("/")

    async def get(
        self, kind: str, name: str
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Reads one object."""
        result = await self._call(
            "GET",
            _object_path(kind, name),
            lambda body: wire.decode_object(kind, body),
        )
        return _check_name(result, kind, name)

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Reads all objects of a kind.

        The revision is that of the first page, so that a watch from it
        reports every change that a later page may have missed.

        Args:
          kind: the kind of objects.
          stale: whether a listing that is some seconds old is acceptable; it
            costs a tenth of a fresh one, and a watch from its revision catches up.
        """
        query = {"allow_stale": 1} if stale else {}
        objects: list[messages.StoredObject] = []
        revision: int | None = None
        after = ""
        path = _kind_path(kind, **query)
        while True:
            result = await self._call(
                "GET", path, lambda body: wire.decode_page(kind, body)
            )
            if result.is_error():
                return expression.Error(result.error)
            page = result.ok
            objects.extend(page.objects)
            revision = page.revision if revision is None else revision
            if not page.has_more:
                break
            if not page.objects or page.objects[-1].name == after:
                return _error(
                    messages.FailureReason.INVALID,
                    "a page of the listing leads to no other",
                )
            after = page.objects[-1].name
            path = _kind_path(kind, **query, after=after)
        listing = messages.Listing(revision=revision, objects=tuple(objects))
        return expression.Ok(listing)

    async def get_revision(
        self, kind: str
    ) -> expression.Result[int, messages.PlatformError]:
        """Reads the store's current revision.

        If it equals an earlier one, nothing in the store has changed since. The
        revision is that of the whole store; the kind only selects a listing.
        The call requests the page after the last possible name, which is
        empty, so no objects are transferred. A pending watch would prove
        nothing: as long as it reports no change, there may be none, or it may
        no longer receive changes.
        """
        result = await self._call(
            "GET",
            _kind_path(kind, after=_LAST_NAME),
            lambda body: wire.decode_page(kind, body),
        )
        return result.map(lambda page: page.revision)

    async def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Writes one object if its version is still the expected one.

        Args:
          kind: the object's kind.
          name: the object's name.
          value: the new JSON value.
          expected: the version read before; 0 if the object must not exist.

        Returns:
          The object as written. After UNAVAILABLE or INVALID the write may
          have taken effect; conditional_writes.write() resolves that.
        """
        method, path = "PUT", _object_path(kind, name)
        if not expected:
            method, path = "POST", _kind_path(kind)
        result = await self._call(
            method,
            path,
            lambda body: wire.decode_object(kind, body),
            wire.encode_object(name, value, expected or None),
        )
        result = _check_name(result, kind, name)
        if result.is_ok() and result.ok.value != value:
            return _error(
                messages.FailureReason.INVALID,
                "the response holds another value than the one written",
            )
        return result

    async def delete(
        self, kind: str, name: str, expected: int
    ) -> expression.Result[None, messages.PlatformError]:
        """Deletes one object if its version is still the expected one."""
        result = await self._call(
            "DELETE",
            _object_path(kind, name, revision=expected),
            lambda body: wire.decode_removed(kind, body),
        )
        return _check_name(result, kind, name).map(lambda _: None)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait: datetime.timedelta = WATCH_TIMEOUT,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Waits for changes to objects of a kind after a revision.

        Returns:
          The changed objects, none after a timeout; a removed object has an
          empty value. After COMPACTED a new listing is needed.
        """
        wait_ms = wait // datetime.timedelta(milliseconds=1)
        return await self._call(
            "GET",
            _kind_path(kind, watch=revision, wait_ms=wait_ms),
            lambda body: wire.decode_events(kind, body),
            timeout=wait + CALL_TIMEOUT,
        )

    async def _call(
        self,
        method: str,
        path: str,
        decode: Decode[DecodedT],
        value: dict[str, Any] | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> expression.Result[DecodedT, messages.PlatformError]:
        if not await self._wait_for_budget():
            return _error(
                messages.FailureReason.THROTTLED, "call budget exhausted"
            )
        self._calls[_call_labels(method, path)] += 1
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=None if value is None else wire.encode_json(value),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
                # The store has one address; a write must not go anywhere else.
                allow_redirects=False,
            ) as response:
                body = await _read_body(response)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = str(error) or type(error).__name__
            return _error(messages.FailureReason.UNAVAILABLE, detail)
        finally:
            self._budget.end()
        if body is None:
            return _error(
                messages.FailureReason.INVALID,
                "the response exceeds the maximum length",
            )
        if not 200 <= response.status < 300:
            return _status_error(response, path, body)
        try:
            return expression.Ok(decode(body))
        except pydantic.ValidationError as error:
            return _error(
                messages.FailureReason.INVALID, wire.format_first_problem(error)
            )

    async def _wait_for_budget(self) -> bool:
        """Waits until the budget allows a call, at most the call timeout."""
        waited = datetime.timedelta()
        while waited <= CALL_TIMEOUT:
            wait = self._budget.start_or_get_wait(self._clock.monotonic())
            if not wait:
                return True
            waited += wait
            if waited <= CALL_TIMEOUT:
                await asyncio.sleep(wait.total_seconds())
        return False


def _call_labels(method: str, path: str) -> CallLabels:
    path_only, _, query = path.partition("?")
    _, _, kind, *name = path_only.split("/")
    word = method.lower()
    if method == "GET" and not name:
        word = "watch" if "watch=" in query else "list"
    return CallLabels(word, kind)


def _kind_path(kind: str, **query: Any) -> str:
    path = names.OBJECTS_PATH.format(kind=urllib.parse.quote(kind, safe=""))
    return path + ("?" + urllib.parse.urlencode(query) if query else "")


def _object_path(kind: str, name: str, **query: Any) -> str:
    quoted = urllib.parse.quote(name, safe="")
    path = names.OBJECT_PATH.format(
        kind=urllib.parse.quote(kind, safe=""), name=quoted
    )
    return path + ("?" + urllib.parse.urlencode(query) if query else "")


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Returns the whole body, or None if it exceeds the maximum length."""
    chunks: list[bytes] = []
    total = 0
    async for chunk in response.content.iter_any():
        total += len(chunk)
        if total > MAX_RESPONSE_BYTES:
            response.close()
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _error(
    failure: messages.FailureReason,
    detail: str,
    current: messages.StoredObject | None = None,
    retry_after: datetime.timedelta | None = None,
) -> expression.Result[Any, messages.PlatformError]:
    return expression.Error(
        messages.PlatformError(failure, detail, current, retry_after)
    )


def _check_name(
    result: expression.Result[_StoredT, messages.PlatformError],
    kind: str,
    name: str,
) -> expression.Result[_StoredT, messages.PlatformError]:
    """Rejects a response for another object than the requested one.

    This happens if a connection delivers the response to another request.
    """
    stored = result.ok if result.is_ok() else None
    if stored is not None and stored.name != name:
        received = f"{kind}/{stored.name}"
        return _error(
            messages.FailureReason.INVALID,
            f"the response is for another object: {received}",
        )
    return result


def _status_error(
    response: aiohttp.ClientResponse, path: str, body: bytes
) -> expression.Result[Any, messages.PlatformError]:
    failure = _FAILURES.get(response.status)
    detail = f"status {response.status}"
    if failure is None:
        kind = (
            messages.FailureReason.UNAVAILABLE
            if response.status >= 500
            else messages.FailureReason.INVALID
        )
        return _error(kind, detail)
    current = None
    if failure is messages.FailureReason.CONFLICT:
        try:
            object_kind = urllib.parse.unquote(path.split("/")[2])
            current = wire.decode_object(object_kind, body)
        except pydantic.ValidationError as error:
            log.debug(
                "conflict response without a valid object: %s",
                wire.format_first_problem(error),
            )
    wait = http_responses.retry_after(response.headers, max_digits=4)
    return _error(failure, detail, current, wait)
