"""Tickets: the keys under which work that must not repeat runs once.

A ticket names its single writer: the node and the incarnation that issued it.
Issuing keeps no state; what was done under a ticket is in the issuer's
ticket book.
"""

import base64
import collections.abc
import dataclasses
import datetime
import hashlib
import hmac
import re
import secrets

from endivewind import exchange

SECRET_BYTES = 32
MAX_TEXT = 256
_NONCE_BYTES = 9
_MILLISECOND = datetime.timedelta(milliseconds=1)
_PATTERN = re.compile(
    r"(?P<node>[a-z0-9][a-z0-9.-]{0,62}):(?P<incarnation>[0-9]{1,18})"
    r":(?P<issued>[0-9]{1,15}):(?P<nonce>[A-Za-z0-9_-]{1,32})"
    r":(?P<signature>[A-Za-z0-9_-]{43})"
)

Nonces = collections.abc.Callable[[], str]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket taken apart; parsing alone does not make it valid.

    Attributes:
      node: name of the issuer.
      incarnation: the issuer's start.
      issued: issue time on the issuer's monotonic clock, in milliseconds.
      nonce: tells tickets of one millisecond apart.
      signature: HMAC of all of these and the workspace, base64url.
    """

    node: str
    incarnation: int
    issued_ms: int
    nonce: str
    signature: str

    @property
    def text(self) -> str:
        """The ticket as it stands in the header."""
        return (
            f"{self.node}:{self.incarnation}:{self.issued_ms}"
            f":{self.nonce}:{self.signature}"
        )

    @property
    def issued(self) -> datetime.timedelta:
        """Issue time on the issuer's monotonic clock."""
        return self.issued_ms * _MILLISECOND


class Issuer:
    """Issues and checks the tickets of one incarnation of a node.

    The secret lives in memory only: a ticket of an earlier incarnation can't
    be checked and is never run, which is what a restarted issuer, whose book
    is gone, must do.
    """

    def __init__(
        self, node: str, incarnation: int, secret: bytes, nonces: Nonces
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._nonces = nonces

    @classmethod
    def for_incarnation(cls, node: str, incarnation: int) -> "Issuer":
        """An issuer with a fresh secret."""
        return cls(
            node,
            incarnation,
            secrets.token_bytes(SECRET_BYTES),
            lambda: secrets.token_urlsafe(_NONCE_BYTES),
        )

    @property
    def node(self) -> str:
        """Name of the issuing node."""
        return self._node

    @property
    def incarnation(self) -> int:
        """The issuing start of the node."""
        return self._incarnation

    def issue(self, workspace: str, now: datetime.timedelta) -> Ticket:
        """A new ticket for one workspace."""
        unsigned = Ticket(
            self._node,
            self._incarnation,
            now // _MILLISECOND,
            self._nonces(),
            "",
        )
        signature = self._sign(unsigned, workspace)
        return dataclasses.replace(unsigned, signature=signature)

    def verify(self, ticket: Ticket, workspace: str) -> bool:
        """Whether this incarnation issued the ticket to this workspace."""
        if (ticket.node, ticket.incarnation) != (self._node, self._incarnation):
            return False
        expected = self._sign(ticket, workspace)
        return hmac.compare_digest(expected, ticket.signature)

    def _sign(self, ticket: Ticket, workspace: str) -> str:
        fields = (
            ticket.node,
            str(ticket.incarnation),
            str(ticket.issued_ms),
            ticket.nonce,
            workspace,
        )
        message = "\n".join(fields).encode("utf-8", "surrogateescape")
        digest = hmac.digest(self._secret, message, "sha256")
        return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def parse(text: str) -> Ticket | None:
    """The ticket in a header's value, quoted or not; None if it is none."""
    plain = text.strip().removeprefix('"').removesuffix('"')
    if len(plain) > MAX_TEXT:
        return None
    match = _PATTERN.fullmatch(plain)
    if match is None:
        return None
    return Ticket(
        match["node"],
        int(match["incarnation"]),
        int(match["issued"]),
        match["nonce"],
        match["signature"],
    )


def fingerprint(head: exchange.RequestHead, body: bytes) -> bytes:
    """What makes two sends the same request: workspace, target work, body.

    Headers are left out: a client library changes some of them between sends
    of the same operation.
    """
    digest = hashlib.sha256()
    for field in (head.workspace, head.service, head.method, head.path):
        raw = field.encode("utf-8", "surrogateescape")
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    digest.update(body)
    return digest.digest()
