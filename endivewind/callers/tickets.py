"""Tickets: idempotency keys under which a non-idempotent request runs once.

A ticket names the node and the incarnation that issued it. Only this issuer
may start the request, and it records the result in its ticket store. Issuing a
ticket keeps no state: tickets are signed with an HMAC.
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
MAX_TICKET_LENGTH = 256
_NONCE_BYTES = 9
_MILLISECOND = datetime.timedelta(milliseconds=1)
_PATTERN = re.compile(
    r"(?P<node>[a-z0-9][a-z0-9.-]{0,62}):(?P<incarnation>[0-9]{1,18})"
    r":(?P<issued>[0-9]{1,15}):(?P<nonce>[A-Za-z0-9_-]{1,32})"
    r":(?P<signature>[A-Za-z0-9_-]{43})"
)

NonceFactory = collections.abc.Callable[[], str]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A parsed ticket, whose signature may still be invalid.

    Attributes:
      node: name of the issuing node.
      incarnation: the issuing node's incarnation.
      issued_ms: issue time on the issuer's monotonic clock, in milliseconds.
      nonce: distinguishes tickets issued in the same millisecond.
      signature: HMAC of the other fields and the workspace, in base64url.
    """

    node: str
    incarnation: int
    issued_ms: int
    nonce: str
    signature: str

    @property
    def text(self) -> str:
        """The ticket as a header value."""
        return (
            f"{self.node}:{self.incarnation}:{self.issued_ms}"
            f":{self.nonce}:{self.signature}"
        )

    @property
    def issued(self) -> datetime.timedelta:
        """Issue time on the issuer's monotonic clock."""
        return self.issued_ms * _MILLISECOND


class Issuer:
    """Issues and verifies the tickets of one incarnation of a node.

    The secret is kept in memory only, so a ticket of an earlier incarnation
    fails verification and never runs. This is intended: the records of an
    earlier incarnation are lost, so the request may have run already.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        secret: bytes,
        make_nonce: NonceFactory,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._make_nonce = make_nonce

    @classmethod
    def for_incarnation(cls, node: str, incarnation: int) -> "Issuer":
        """Returns an issuer with a new random secret."""
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
        """The issuing node's incarnation."""
        return self._incarnation

    def issue(self, workspace: str, now: datetime.timedelta) -> Ticket:
        """Returns a new ticket, valid for one workspace only."""
        unsigned = Ticket(
            self._node,
            self._incarnation,
            now // _MILLISECOND,
            self._make_nonce(),
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
    """Parses a header value, quoted or not; returns None if malformed."""
    unquoted = text.strip().removeprefix('"').removesuffix('"')
    if len(unquoted) > MAX_TICKET_LENGTH:
        return None
    match = _PATTERN.fullmatch(unquoted)
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
    """Returns a hash of the workspace, service, method, path and body.

    Two requests with the same fingerprint are taken for the same operation.
    Headers are not hashed, because client libraries change some of them when
    they resend a request.
    """
    return fingerprint_of(
        head.workspace, head.service, head.method, head.path, body
    )


def fingerprint_of(
    workspace: str, service: str, method: str, path: str, body: bytes
) -> bytes:
    """Returns the fingerprint of a request with these parts."""
    digest = hashlib.sha256()
    for field in (workspace, service, method, path):
        encoded = field.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.digest()
