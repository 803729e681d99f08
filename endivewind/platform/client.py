"""Client of the platform's object API: get, list, put, watch."""

import datetime
from typing import Any
from typing import TypeVar

import aiohttp
import expression
import pydantic

from endivewind.platform import messages

CALL_TIMEOUT = datetime.timedelta(seconds=3)
WATCH_WAIT = datetime.timedelta(seconds=20)

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

_FAILURES = {
    404: messages.Failure.NOT_FOUND,
    409: messages.Failure.CONFLICT,
    410: messages.Failure.COMPACTED,
    429: messages.Failure.THROTTLED,
}


class PlatformClient:
    """Calls the object API; every failure is a value, none is raised."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session

    async def get(
        self, kind: str, name: str
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Reads one object."""
        path = f"/v1/objects/{kind}/{name}"
        return await self._call("GET", path, messages.StoredObject)

    async def list(
        self, kinds: tuple[str, ...]
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Reads all objects of some kinds at one revision."""
        path = "/v1/objects?kinds=" + ",".join(kinds)
        return await self._call("GET", path, messages.Listing)

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
          The object as written. UNAVAILABLE leaves open whether it was.
        """
        path = f"/v1/objects/{kind}/{name}"
        return await self._call(
            "PUT", path, messages.StoredObject, value, expected
        )

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
          What was written, empty when the wait ran out. COMPACTED asks for a
          new listing.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        path = (
            f"/v1/watch?kinds={','.join(kinds)}"
            f"&revision={revision}&wait_ms={wait_ms}"
        )
        return await self._call(
            "GET", path, messages.Listing, timeout=wait + CALL_TIMEOUT
        )

    async def _call(
        self,
        method: str,
        path: str,
        model: type[ModelT],
        value: dict[str, Any] | None = None,
        expected: int | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> expression.Result[ModelT, messages.PlatformError]:
        headers = {} if expected is None else {"If-Match": str(expected)}
        try:
            async with self._session.request(
                method,
                self._url + path,
                json=value,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                body = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = str(error) or type(error).__name__
            return _error(messages.Failure.UNAVAILABLE, detail)
        if status >= 400:
            return _refused(status, body)
        try:
            return expression.Ok(model.model_validate_json(body))
        except pydantic.ValidationError as error:
            return _error(messages.Failure.INVALID, str(error))


def _error(
    failure: messages.Failure,
    detail: str,
    current: messages.StoredObject | None = None,
) -> expression.Result[Any, messages.PlatformError]:
    return expression.Error(messages.PlatformError(failure, detail, current))


def _refused(
    status: int, body: bytes
) -> expression.Result[Any, messages.PlatformError]:
    failure = _FAILURES.get(status)
    if failure is None:
        kind = (
            messages.Failure.UNAVAILABLE
            if status >= 500
            else messages.Failure.INVALID
        )
        return _error(kind, f"status {status}")
    current = None
    if failure is messages.Failure.CONFLICT:
        try:
            current = messages.StoredObject.model_validate_json(body)
        except pydantic.ValidationError:
            current = None
    return _error(failure, f"status {status}", current)
