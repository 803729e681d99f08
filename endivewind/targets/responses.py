"""Reads the responses of targets.

Called by the dispatcher. Short responses are buffered whole, longer ones are
streamed to the caller.
"""

import asyncio
import datetime
import logging

import aiohttp
import expression

from endivewind import exchange
from endivewind import headers
from endivewind.targets import evidence
from endivewind.targets import target_request

log = logging.getLogger(__name__)

# A response that has begun is aborted after this long without a byte.
READ_TIMEOUT = datetime.timedelta(seconds=30)
# Responses up to this size are buffered whole, so that a truncated one can
# still be replaced by an error or by another target's response.
MAX_BUFFERED_BYTES = 65_536
# The body of a rejection is read up to this size and for this long, so that its
# connection can be reused.
MAX_REJECTION_BYTES = 65_536
REJECTION_READ_TIME = datetime.timedelta(milliseconds=100)
_HOP_BY_HOP = frozenset(name.encode() for name in headers.HOP_BY_HOP)
_READ_SIZE = 65_536
_MISDIRECTED_REQUEST = 421
_NO_CODING = "identity"

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]


class ResponseStream:
    """The unread remainder of a response; holds the slot until it ends."""

    def __init__(
        self,
        request: target_request.TargetRequest,
        response: aiohttp.ClientResponse,
    ) -> None:
        self._request = request
        self._response = response

    def __aiter__(self) -> "ResponseStream":
        return self

    async def __anext__(self) -> bytes:
        try:
            async with asyncio.timeout(READ_TIMEOUT.total_seconds()):
                data = await self._response.content.read(_READ_SIZE)
        except (aiohttp.ClientError, OSError) as error:
            self._close(evidence.ResultKind.LOST)
            detail = str(error) or "response stalled"
            raise exchange.TruncatedResponseError(detail) from error
        if data:
            return data
        self._close(None)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Discards the unread bytes by closing the connection to the target."""
        self._close(evidence.ResultKind.CANCELLED)

    def _close(self, kind: evidence.ResultKind | None) -> None:
        # A connection with unread bytes of a response must not be reused.
        self._response.close()
        self._request.finish(kind)


async def read_response(
    request: target_request.TargetRequest, response: aiohttp.ClientResponse
) -> ResponseResult:
    """Reads the body of a response whose head has arrived.

    Returns:
      The whole response, or a streamed one if its body is long or chunked.
    """
    pairs = _end_to_end_headers(response.raw_headers)
    try:
        body, is_complete = await _read_short_body(response)
    except BaseException:
        response.close()
        raise
    if is_complete:
        return expression.Ok(exchange.Response(response.status, pairs, body))
    rest = ResponseStream(request, response)
    return expression.Ok(exchange.Response(response.status, pairs, body, rest))


async def _read_short_body(
    response: aiohttp.ClientResponse,
) -> tuple[bytes, bool]:
    """Reads a short body whole, and nothing of one known to be long.

    A buffered response can still be replaced if the target truncates it; once
    a response is being sent to the caller, only the connection can be closed.

    Returns:
      The bytes read, and whether they are the whole body.
    """
    length = response.content_length
    if length is not None and length <= MAX_BUFFERED_BYTES:
        return await response.read(), True
    if length is not None or "chunked" in _transfer_encoding(response):
        # The caller may need the chunks of a response as they arrive.
        return b"", False
    buffered = bytearray()
    while len(buffered) <= MAX_BUFFERED_BYTES:
        async with asyncio.timeout(READ_TIMEOUT.total_seconds()):
            data = await response.content.read(_READ_SIZE)
        if not data:
            return bytes(buffered), True
        buffered += data
    return bytes(buffered), False


def _transfer_encoding(response: aiohttp.ClientResponse) -> str:
    return response.headers.get("Transfer-Encoding", "").lower()


async def drain_rejection(response: aiohttp.ClientResponse) -> None:
    """Reads the body of a rejection, so that its connection can be reused.

    Closes the connection if the body is long, late or incomplete: the request
    has not been executed, whatever follows.
    """
    size = 0
    try:
        async with asyncio.timeout(REJECTION_READ_TIME.total_seconds()):
            while size <= MAX_REJECTION_BYTES:
                data = await response.content.read(_READ_SIZE)
                if not data:
                    return
                size += len(data)
    except (aiohttp.ClientError, OSError) as error:
        log.debug("target's rejection not read: %s", error or "timed out")
    response.close()


def find_problem(
    head: exchange.RequestHead,
    response: aiohttp.ClientResponse,
    header_names: headers.HeaderNames,
) -> str:
    """Returns why a response is not the target's to a request; or nothing.

    Scenario: a target responds twice to a request, the second time after the
    connection was returned to the pool. Risk: the next caller gets the response
    to another caller's request. A response with a different id, or a successful
    one without an id, is therefore not the target's to this request.

    A successful one that the target has not marked, or not alone, may have been
    written by something else. One with a content coding, which the request did
    not ask for, can't be decoded by its caller.
    """
    response_id = response.headers.get(header_names.request_id)
    is_success = 200 <= response.status < 300
    may_lack_id = response_id is None and not is_success
    if response_id != head.request_id and not may_lack_id:
        return "response belongs to another request"
    markers = response.headers.getall(header_names.response_marker, ())
    if is_success and len(markers) != 1:
        return f"response has {len(markers)} marks of its target"
    if _is_encoded(response) and not _asks_for_encoding(head):
        return "response has a content coding that was not asked for"
    return ""


def _is_encoded(response: aiohttp.ClientResponse) -> bool:
    coding = response.headers.get("Content-Encoding", "").strip()
    return coding.lower() not in ("", _NO_CODING)


def _asks_for_encoding(head: exchange.RequestHead) -> bool:
    return any(
        name.lower() == b"accept-encoding"
        and value.strip().lower() != _NO_CODING.encode()
        for name, value in head.headers
    )


def is_misdirected(
    response: aiohttp.ClientResponse, header_names: headers.HeaderNames
) -> bool:
    """Returns whether another target has the address and rejected a request."""
    return bool(
        header_names.expected_target and response.status == _MISDIRECTED_REQUEST
    )


def target_refusal(
    response: aiohttp.ClientResponse, header_names: headers.HeaderNames
) -> exchange.Refusal | None:
    """Returns a refusal if the target did not execute the request.

    Returns:
      None if the target may have executed the request. It declares that it
      did not by the status 421 or the configured header.
    """
    if is_misdirected(response, header_names):
        return exchange.not_run_refusal(
            exchange.Reason.WRONG_TARGET, "address belongs to another target"
        )
    if header_names.not_run and header_names.not_run in response.headers:
        return exchange.not_run_refusal(
            exchange.Reason.TARGET_FULL,
            f"target rejected the request with status {response.status}",
        )
    return None


def _end_to_end_headers(pairs: exchange.HeaderList) -> exchange.HeaderList:
    return tuple([item for item in pairs if item[0].lower() not in _HOP_BY_HOP])
