"""Bounds the bytes of request bodies that a target holds at once.

Targets read a request's body into memory before they run it, and a target that
exceeds the memory of its VM crashes with all its requests.
"""

import collections.abc
import datetime

from endivewind import exchange
from endivewind.targets import registry

# Share of this process's memory that the request bodies at one target may
# have. The memory of the target itself is unknown: on a VM of 200 MB it has
# about as much as this process, and it keeps a body and what it parses from it.
TARGET_SHARE = 0.25
RETRY_AFTER = datetime.timedelta(seconds=1)


class RequestBytesLimit:
    """The bytes of request bodies that each target may hold."""

    def __init__(
        self,
        limit_bytes: int,
        max_body_bytes: collections.abc.Callable[[], int],
    ) -> None:
        """Initializes the limit.

        Args:
          limit_bytes: bytes of all request bodies at one target.
          max_body_bytes: returns the body limit in force, which a reload or the
            configuration may change. A body whose length is not declared
            counts as this long, and is cut off beyond it.
        """
        self._limit_bytes = limit_bytes
        self._max_body_bytes = max_body_bytes

    def size(
        self, head: exchange.RequestHead, body: exchange.RequestBody
    ) -> int:
        """Returns the bytes that a request's body may have at its target."""
        if body.stream is None:
            return len(body.buffered)
        length = exchange.content_length(head.headers)
        if length is not None:
            return length
        return min(self._max_body_bytes(), self._limit_bytes)

    def refusal_reason(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> exchange.Reason | None:
        """Returns why a target must not get a request now, or None."""
        size = self.size(head, body)
        if not size:
            return None
        if size > self._limit_bytes:
            return exchange.Reason.BODY_TOO_LARGE
        held = sum(request.body_bytes for request in item.pending_requests)
        if held + size > self._limit_bytes:
            return exchange.Reason.BUSY
        return None

    def bounded(
        self, head: exchange.RequestHead, body: exchange.RequestBody
    ) -> exchange.RequestBody:
        """Returns the body with its stream limited to the counted size."""
        if body.stream is None:
            return body
        return exchange.RequestBody(
            body.buffered, _limited(body.stream, self.size(head, body))
        )


async def _limited(
    stream: collections.abc.AsyncIterator[bytes], size: int
) -> collections.abc.AsyncGenerator[bytes, None]:
    total = 0
    async for data in stream:
        total += len(data)
        if total > size:
            raise exchange.RequestBodyError(f"body exceeds {size} bytes")
        yield data
