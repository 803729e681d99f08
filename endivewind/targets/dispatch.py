"""Hands requests over to this home's targets, by HTTP."""

import asyncio
import collections.abc
import datetime
import logging

import aiohttp
import expression
import multidict
import yarl

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import headers
from endivewind.targets import evidence
from endivewind.targets import records
from endivewind.targets import registry

log = logging.getLogger(__name__)

BUSY_RETRY = datetime.timedelta(milliseconds=200)
# An idle connection may have been forgotten on the way; a short idle time
# keeps most requests off such connections.
KEEPALIVE = datetime.timedelta(seconds=10)
WHOLE_ANSWER_BYTES = 65_536
_READ_BYTES = 65_536

AnswerResult = expression.Result[exchange.Answer, exchange.Refusal]


class Dispatcher:
    """Runs requests at targets within their slots."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        session: aiohttp.ClientSession,
        observer: evidence.Observer,
        clock: clocks.Clock,
    ) -> None:
        self._targets = targets
        self._session = session
        self._observer = observer
        self._clock = clock

    @classmethod
    def from_registry(
        cls,
        targets: registry.TargetRegistry,
        observer: evidence.Observer,
        clock: clocks.Clock,
    ) -> "Dispatcher":
        """Builds a dispatcher with a connection pool of its own."""
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEPALIVE.total_seconds()
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(),
            skip_auto_headers=("User-Agent", "Content-Type", "Accept"),
        )
        return cls(targets, session, observer, clock)

    async def close(self) -> None:
        """Closes the connections to targets."""
        await self._session.close()

    async def run(
        self,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Runs one request at one target of this home."""
        item = self._targets.get(target)
        if item is None:
            return _refuse(exchange.Reason.STALE_HOME, f"{target} is not here")
        if item.record.state is records.State.DRAINING:
            return _refuse(exchange.Reason.STOPPING, f"{target} is draining")
        if item.in_use >= item.record.slots:
            return _refuse(
                exchange.Reason.BUSY, f"{target} has no free slot", BUSY_RETRY
            )
        item.in_use += 1
        result: AnswerResult | None = None
        try:
            result = await self._observed(item, head, body)
        finally:
            streaming = (
                result is not None
                and result.is_ok()
                and result.ok.rest is not None
            )
            if not streaming:
                item.in_use -= 1
        return result

    async def _observed(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Sends a request, and tells the observer how it went."""
        record = item.record
        number = self._observer.started(record.id, record.service)
        started = self._clock.monotonic()
        kind = evidence.Kind.CANCELLED
        try:
            result = await self._send(item, head, body)
            kind = _kind(result)
            return result
        finally:
            self._observer.finished(
                evidence.Sample(
                    record.id,
                    record.service,
                    head.workspace,
                    kind,
                    self._clock.monotonic() - started,
                    number,
                )
            )

    async def _send(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        deadline = head.remaining.total_seconds()
        try:
            async with asyncio.timeout(deadline):
                response = await self._session.request(
                    head.method,
                    yarl.URL(item.address + head.path, encoded=True),
                    headers=_headers_out(head.headers),
                    data=_body_out(body),
                    allow_redirects=False,
                )
                return await _answer(item, response)
        except aiohttp.ClientConnectorError as error:
            return _refuse(exchange.Reason.UNREACHABLE, str(error))
        except TimeoutError:
            detail = "no answer before the deadline"
            return expression.Error(
                exchange.unknown(exchange.Reason.DEADLINE, detail)
            )
        except (
            aiohttp.ClientError,
            OSError,
            exchange.TruncatedAnswerError,
        ) as error:
            detail = str(error) or type(error).__name__
            return expression.Error(
                exchange.unknown(exchange.Reason.TARGET_LOST, detail)
            )


def _kind(result: AnswerResult) -> evidence.Kind:
    if result.is_ok():
        return evidence.kind_of_status(result.ok.status)
    match result.error.reason:
        case exchange.Reason.DEADLINE:
            return evidence.Kind.TIMEOUT
        case exchange.Reason.UNREACHABLE:
            return evidence.Kind.REFUSED_CONNECTION
        case _:
            return evidence.Kind.LOST


async def _answer(
    item: registry.HomeTarget, response: aiohttp.ClientResponse
) -> AnswerResult:
    pairs = _headers_in(response.raw_headers)
    length = response.content_length
    if length is not None and length <= WHOLE_ANSWER_BYTES:
        whole = await response.read()
        return expression.Ok(exchange.Answer(response.status, pairs, whole))
    return expression.Ok(
        exchange.Answer(response.status, pairs, b"", _rest(item, response))
    )


async def _rest(
    item: registry.HomeTarget, response: aiohttp.ClientResponse
) -> collections.abc.AsyncGenerator[bytes, None]:
    try:
        async for data in response.content.iter_chunked(_READ_BYTES):
            yield data
    except (aiohttp.ClientError, OSError) as error:
        raise exchange.TruncatedAnswerError(str(error)) from error
    finally:
        # A connection left in the middle of an answer is never used again.
        response.close()
        item.in_use -= 1


def _refuse(
    reason: exchange.Reason,
    detail: str,
    retry_after: datetime.timedelta | None = None,
) -> AnswerResult:
    return expression.Error(exchange.not_run(reason, detail, retry_after))


def _body_out(
    body: exchange.RequestBody,
) -> bytes | collections.abc.AsyncIterator[bytes] | None:
    if body.rest is None:
        return body.held or None
    return _joined(body.held, body.rest)


async def _joined(
    held: bytes, rest: collections.abc.AsyncIterator[bytes]
) -> collections.abc.AsyncGenerator[bytes, None]:
    if held:
        yield held
    async for data in rest:
        yield data


def _headers_out(
    pairs: exchange.HeaderList,
) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in pairs
    )


def _headers_in(pairs: exchange.HeaderList) -> exchange.HeaderList:
    return tuple(
        (name, value)
        for name, value in pairs
        if name.decode("latin-1").lower() not in headers.HOP_BY_HOP
    )
