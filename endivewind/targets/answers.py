"""Reads the answers of targets."""

import asyncio
import datetime
import logging

import aiohttp
import expression

from endivewind import exchange
from endivewind import headers
from endivewind.targets import evidence
from endivewind.targets import working

log = logging.getLogger(__name__)

# An answer that has begun and then moves no byte for this long is cut.
PROGRESS_LIMIT = datetime.timedelta(seconds=30)
# Answers up to here are held whole, so that one that breaks off can still be
# replaced by an error or by another target's answer.
WHOLE_ANSWER_BYTES = 65_536
_HOP_BY_HOP = frozenset(name.encode() for name in headers.HOP_BY_HOP)
_READ_BYTES = 65_536
_MISDIRECTED = 421

AnswerResult = expression.Result[exchange.Response, exchange.Refusal]


class TargetStream:
    """The rest of a target's answer; holds the slot until it ends."""

    def __init__(
        self, hand_over: working.HandOver, response: aiohttp.ClientResponse
    ) -> None:
        self._hand_over = hand_over
        self._response = response

    def __aiter__(self) -> "TargetStream":
        return self

    async def __anext__(self) -> bytes:
        try:
            async with asyncio.timeout(PROGRESS_LIMIT.total_seconds()):
                data = await self._response.content.read(_READ_BYTES)
        except (aiohttp.ClientError, OSError) as error:
            self._close(evidence.Kind.LOST)
            detail = str(error) or "the answer stood still"
            raise exchange.TruncatedResponseError(detail) from error
        if data:
            return data
        self._close(None)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Gives the answer up: the target sees its connection closed."""
        self._close(evidence.Kind.CANCELLED)

    def _close(self, kind: evidence.Kind | None) -> None:
        # A connection left in the middle of an answer is never used again.
        self._response.close()
        self._hand_over.end(kind)


async def read(
    hand_over: working.HandOver, response: aiohttp.ClientResponse
) -> AnswerResult:
    """The answer whose head has come: whole, or as a stream if it is long."""
    pairs = _headers_in(response.raw_headers)
    try:
        held, ended = await _first_bytes(response)
    except BaseException:
        response.close()
        raise
    if ended:
        return expression.Ok(exchange.Response(response.status, pairs, held))
    rest = TargetStream(hand_over, response)
    return expression.Ok(exchange.Response(response.status, pairs, held, rest))


async def _first_bytes(
    response: aiohttp.ClientResponse,
) -> tuple[bytes, bool]:
    """The whole of a small answer, or nothing of one that is known to be long.

    An answer that is held whole can still be replaced if it breaks off; of
    one that has begun to go to the caller only the connection can be cut.

    Returns:
      The bytes read, and whether they are all.
    """
    length = response.content_length
    if length is not None and length <= WHOLE_ANSWER_BYTES:
        return await response.read(), True
    if length is not None or "chunked" in _coding(response):
        # What comes in parts may be meant to be seen as it comes.
        return b"", False
    held = bytearray()
    while len(held) <= WHOLE_ANSWER_BYTES:
        async with asyncio.timeout(PROGRESS_LIMIT.total_seconds()):
            data = await response.content.read(_READ_BYTES)
        if not data:
            return bytes(held), True
        held += data
    return bytes(held), False


def _coding(response: aiohttp.ClientResponse) -> str:
    return response.headers.get("Transfer-Encoding", "").lower()


async def read_away(response: aiohttp.ClientResponse) -> None:
    """Reads the rest of an answer whose connection is worth keeping."""
    try:
        await response.read()
    except (aiohttp.ClientError, OSError) as error:
        log.debug("a refusal broke off: %s", error)
        response.close()


def not_run_by_target(
    response: aiohttp.ClientResponse, names: headers.HeaderNames
) -> exchange.Refusal | None:
    """The refusal of a target that says it has not run the request."""
    if names.expected_target and response.status == _MISDIRECTED:
        return exchange.not_run(
            exchange.Reason.WRONG_TARGET, "another target has the address"
        )
    if names.not_run and names.not_run in response.headers:
        return exchange.not_run(
            exchange.Reason.TARGET_FULL, f"the target says {response.status}"
        )
    return None


def _headers_in(pairs: exchange.HeaderList) -> exchange.HeaderList:
    return tuple([item for item in pairs if item[0].lower() not in _HOP_BY_HOP])
