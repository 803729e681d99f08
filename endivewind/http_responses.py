"""HTTP connections to servers whose responses may be invalid.

aiohttp's parser of responses is lenient. It takes any three digits for a
status, reads a field whose name ends in a blank, and joins continued lines.
Other recipients read such bytes differently, or not at all. It also holds as
many interim responses as a server sends. So the head of each response is
checked here before it is parsed, and its size is bounded.
"""

import asyncio
import collections.abc
import datetime
import functools
import re
from typing import Any

import aiohttp
from aiohttp import client_proto

from endivewind import exchange

# The largest head of a response, together with the interim responses before it.
MAX_HEAD_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"
_START_OF_HEAD = b"HTTP/1."
_SWITCHING_PROTOCOLS = 101
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
# RFC 9112, sections 4 and 5, with RFC 9110, sections 5.5, 5.6.2 and 15. A
# continued line of a field is not allowed.
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
_FIELDS = rb"(?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*+"
_HEAD = re.compile(
    rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: "
    + _TEXT
    + rb")?\r\n"
    + _FIELDS
    + rb"\r\n"
)
_VALID_FIELDS = re.compile(_FIELDS)
# Ends no line, so that the end of the head may never come.
_BARE_NEWLINE = re.compile(rb"(?<!\r)\n")
_TRANSFER_ENCODING = re.compile(
    rb"\r\ntransfer-encoding:([^\r]*)", re.IGNORECASE
)


class InvalidResponseError(aiohttp.ClientError):
    """A server sent bytes that are no valid response, or too large a head."""


class HeadReader:
    """Holds what arrives of a response until its head is complete and valid."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._head_bytes = 0
        self.is_complete = False

    def feed(self, data: bytes) -> bytes:
        """Returns the received bytes that may be parsed.

        Args:
          data: the bytes that follow those of the last call.

        Returns:
          The heads that are complete; once the final one is, all bytes.

        Raises:
          InvalidResponseError: if the bytes are no valid head.
        """
        searched_bytes = max(0, len(self._held) - len(_END_OF_HEAD) + 1)
        self._held += data
        checked_bytes = 0
        while not self.is_complete:
            start = max(checked_bytes, searched_bytes)
            found = self._held.find(_END_OF_HEAD, start)
            end = len(self._held) if found < 0 else found + len(_END_OF_HEAD)
            if _BARE_NEWLINE.search(self._held, start, end):
                raise InvalidResponseError("the response's lines do not end")
            self._check_beginning(checked_bytes, end)
            if found < 0:
                break
            status = _check_head(bytes(self._held[checked_bytes:end]))
            self.is_complete = status >= _MIN_FINAL_STATUS
            self._head_bytes += end - checked_bytes
            checked_bytes = end
        if self.is_complete:
            checked_bytes = len(self._held)
        checked = bytes(self._held[:checked_bytes])
        del self._held[:checked_bytes]
        return checked

    def _check_beginning(self, start: int, end: int) -> None:
        """Checks a head that may not be whole, so as not to wait for its end."""
        beginning = self._held[start : start + len(_START_OF_HEAD)]
        if not _START_OF_HEAD.startswith(beginning):
            raise InvalidResponseError("the response is not HTTP/1")
        if self._head_bytes + end - start > MAX_HEAD_BYTES:
            raise InvalidResponseError(
                f"the response's head exceeds {MAX_HEAD_BYTES} bytes"
            )


def is_valid(status: int, fields: exchange.HeaderList) -> bool:
    """Returns whether a final response may have this status and fields."""
    lines = b"".join([b"%b:%b\r\n" % field for field in fields])
    return (
        _MIN_FINAL_STATUS <= status <= _MAX_STATUS
        and lines.count(b"\n") == len(fields)
        and _VALID_FIELDS.fullmatch(lines) is not None
    )


def retry_after(
    fields: collections.abc.Mapping[str, str], *, max_digits: int
) -> datetime.timedelta | None:
    """Returns the wait that a response asks for.

    Args:
      fields: the fields of its head.
      max_digits: of the number of seconds.

    Returns:
      The wait; None if it names none, a date or a longer number.
    """
    text = fields.get("Retry-After", "")
    if not (text.isascii() and text.isdigit() and len(text) <= max_digits):
        return None
    return datetime.timedelta(seconds=int(text))


def _check_head(head: bytes) -> int:
    """Checks the head of a response and returns its status.

    Raises:
      InvalidResponseError: if it is not valid.
    """
    match = _HEAD.fullmatch(head)
    if match is None:
        raise InvalidResponseError("the response's head is not valid")
    codings = [
        value.strip(b" \t").lower()
        for value in _TRANSFER_ENCODING.findall(head)
    ]
    if codings and codings != [b"chunked"]:
        raise InvalidResponseError("the transfer coding is not supported")
    status = int(match[1])
    if status == _SWITCHING_PROTOCOLS:
        raise InvalidResponseError("the server switches protocols unasked")
    return status


class ResponseHandler(client_proto.ResponseHandler):
    """A connection whose server may send anything at any time.

    Scenario: a server sends bytes that are no response, or sends them after
    the end of one. Risk: the next request on the connection gets them as its
    response. The connection is aborted instead.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_reader = HeadReader()

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the response to the next request."""
        self._head_reader = HeadReader()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to aiohttp's parser once they are checked.

        aiohttp calls it without data to go on with bytes that it holds, and
        holds what arrives before a request is sent.
        """
        if data and self._parser is not None:
            try:
                data = self._check(data)
            except InvalidResponseError as error:
                self._abort(error)
                return
            if not data:
                return
        super().data_received(data)

    def _check(self, data: bytes) -> bytes:
        """Returns the received bytes that may be parsed.

        Raises:
          InvalidResponseError: if they belong to no valid response.
        """
        if self._has_response:
            raise InvalidResponseError("bytes after the end of the response")
        if self._head_reader.is_complete:
            return data
        return self._head_reader.feed(data)

    @property
    def _has_response(self) -> bool:
        """Whether the response to the last request was received whole."""
        return (
            self._head_reader.is_complete
            and self._payload is not None
            and self._payload.is_eof()
        )

    def _abort(self, error: InvalidResponseError) -> None:
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Opens connections on which the heads of responses are checked."""

    def __init__(self, **options: Any) -> None:
        """Initializes the connector.

        Args:
          **options: of aiohttp's connector.
        """
        super().__init__(**options)
        # aiohttp has no public API to set the protocol class.
        self._factory = functools.partial(ResponseHandler, loop=self._loop)  # type: ignore[assignment]
