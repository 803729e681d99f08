"""Client of the platform's object API: get, list, put, watch."""

import asyncio
import datetime
import logging
from typing import Any
from typing import TypeVar

import aiohttp
import expression
import pydantic

from endivewind import clock as clocks
from endivewind.platform import freshness
from endivewind.platform import messages
from endivewind.platform import retries

log = logging.getLogger(__name__)

CALL_TIMEOUT = datetime.timedelta(seconds=3)
WATCH_WAIT = datetime.timedelta(seconds=20)
# A listing of the full configuration is 3 MB; no genuine answer is longer.
MAX_ANSWER_BYTES = 64 * 1024 * 1024

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

_FAILURES = {
    404: messages.Failure.NOT_FOUND,
    409: messages.Failure.CONFLICT,
    410: messages.Failure.COMPACTED,
    429: messages.Failure.THROTTLED,
}


class PlatformClient:
    """Calls the object API; every failure is a value, none is raised.

    Calls keep to a budget, a waiting watch counting as one. An answer that
    is older than one seen before is refused as STALE.
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
        self._marks = freshness.Marks()

    @property
    def budget(self) -> retries.CallBudget:
        """The calls that this process may make."""
        return self._budget

    async def get(
        self, kind: str, name: str
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Reads one object."""
        path = f"/v1/objects/{kind}/{name}"
        found = await self._call("GET", path, messages.StoredObject)
        return _named(found, kind, name).bind(self._marks.check_object)

    async def list(
        self, kinds: tuple[str, ...]
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Reads all objects of some kinds at one revision."""
        path = "/v1/objects?kinds=" + ",".join(kinds)
        found = await self._call("GET", path, messages.Listing)
        return _of_kinds(found, kinds).bind(self._marks.check_listing)

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
        path = f"/v1/objects/{kind}/{name}"
        written = await self._call(
            "PUT", path, messages.StoredObject, value, expected
        )
        written = _named(written, kind, name)
        if written.is_ok():
            if written.ok.value != value:
                return _error(messages.Failure.INVALID, "another value")
            self._marks.wrote(written.ok)
        return written

    async def delete(
        self, kind: str, name: str, expected: int
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Deletes one object if its version is still the expected one."""
        path = f"/v1/objects/{kind}/{name}"
        return await self._call(
            "DELETE", path, messages.StoredObject, None, expected
        )

    async def watch(
        self,
        kinds: tuple[str, ...],
        revision: int,
        wait: datetime.timedelta = WATCH_WAIT,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Waits for objects of some kinds written after a revision.

        Returns:
          What was written, empty when the wait ran out. COMPACTED and STALE
          ask for a new listing.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        path = (
            f"/v1/watch?kinds={','.join(kinds)}"
            f"&revision={revision}&wait_ms={wait_ms}"
        )
        found = await self._call(
            "GET", path, messages.Listing, timeout=wait + CALL_TIMEOUT
        )
        found = _of_kinds(found, kinds)
        if found.is_ok() and found.ok.revision < revision:
            return _error(messages.Failure.STALE, "an earlier revision")
        return found

    async def _call(
        self,
        method: str,
        path: str,
        model: type[ModelT],
        value: dict[str, Any] | None = None,
        expected: int | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> expression.Result[ModelT, messages.PlatformError]:
        if not await self._admitted():
            return _error(messages.Failure.THROTTLED, "call budget used up")
        headers = {} if expected is None else {"If-Match": str(expected)}
        try:
            async with self._session.request(
                method,
                self._url + path,
                json=value,
                headers=headers,
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
            return _refused(response, body)
        try:
            return expression.Ok(model.model_validate_json(body))
        except pydantic.ValidationError as error:
            return _error(messages.Failure.INVALID, _first_line(error))

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
    if found.is_ok() and (found.ok.kind, found.ok.name) != (kind, name):
        seen = f"{found.ok.kind}/{found.ok.name}"
        return _error(messages.Failure.INVALID, f"asked otherwise, got {seen}")
    return found


def _of_kinds(
    found: expression.Result[messages.Listing, messages.PlatformError],
    kinds: tuple[str, ...],
) -> expression.Result[messages.Listing, messages.PlatformError]:
    if found.is_ok():
        for item in found.ok.objects:
            if item.kind not in kinds:
                detail = f"asked otherwise, got {item.kind}/{item.name}"
                return _error(messages.Failure.INVALID, detail)
    return found


def _refused(
    response: aiohttp.ClientResponse, body: bytes
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
            current = messages.StoredObject.model_validate_json(body)
        except pydantic.ValidationError:
            current = None
    return _error(failure, detail, current, _retry_after(response))


def _retry_after(
    response: aiohttp.ClientResponse,
) -> datetime.timedelta | None:
    given = response.headers.get("Retry-After", "")
    if not (given.isascii() and given.isdigit() and len(given) < 5):
        return None
    return datetime.timedelta(seconds=int(given))


def _first_line(error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return f"{place}: {first['msg']}"
