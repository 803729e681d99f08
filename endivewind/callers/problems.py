"""Refusals as HTTP answers: a status and a problem body (RFC 9457)."""

import json
import math

from endivewind import exchange
from endivewind import headers

CONTENT_TYPE = "application/problem+json"

_STATUS = {
    exchange.Reason.BAD_REQUEST: 400,
    exchange.Reason.BODY_TOO_LARGE: 413,
    exchange.Reason.NO_ROUTE: 404,
    exchange.Reason.NOT_READY: 503,
    exchange.Reason.NO_TARGET: 503,
    exchange.Reason.BUSY: 503,
    exchange.Reason.DEADLINE: 504,
    exchange.Reason.UNREACHABLE: 502,
    exchange.Reason.TARGET_LOST: 502,
    exchange.Reason.HOME_LOST: 502,
    exchange.Reason.HOME_UNREACHABLE: 502,
    exchange.Reason.STALE_HOME: 503,
    exchange.Reason.SUSPECT: 503,
    exchange.Reason.TARGET_FULL: 503,
    exchange.Reason.WRONG_TARGET: 503,
    exchange.Reason.STOPPING: 503,
    exchange.Reason.TICKET_REQUIRED: 428,
    exchange.Reason.TICKET_INVALID: 400,
    exchange.Reason.TICKET_EXPIRED: 410,
    exchange.Reason.TICKET_REUSED: 422,
    exchange.Reason.ISSUER_LOST: 502,
    exchange.Reason.ANSWER_NOT_KEPT: 409,
    exchange.Reason.SEALED: 409,
    exchange.Reason.RATE_LIMITED: 429,
    exchange.Reason.UNAUTHENTICATED: 401,
    exchange.Reason.POISON: 503,
    exchange.Reason.CUT_SHORT: 504,
    exchange.Reason.INTERNAL: 500,
}


# Statuses by which HTTP clients take it that a request has not run.
_NOT_RUN_STATUS = frozenset({408, 421, 429, 503})
# Statuses that leave open whether it has.
_OPEN_STATUS = frozenset({502, 504})


def status(refusal: exchange.Refusal) -> int:
    """The HTTP status of a refusal.

    Failure: a home that has lost its record says "busy" of work that may have
    run. Symptom: the caller reads 503, sends a payout again, and it is paid
    twice. So the outcome decides between the statuses that say "not run" and
    those that leave it open, whatever the reason.
    """
    found = _STATUS[refusal.reason]
    if refusal.outcome is exchange.Outcome.NOT_RUN:
        return 503 if found in _OPEN_STATUS else found
    return 502 if found in _NOT_RUN_STATUS else found


def header_fields(
    refusal: exchange.Refusal,
    request_id: str,
    id_field: str = headers.REQUEST_ID,
) -> dict[str, str]:
    """The headers that go with a refusal; the id's is named by id_field."""
    fields = {
        headers.OUTCOME: refusal.outcome.value,
        headers.REASON: refusal.reason.value,
        id_field: request_id,
        "Content-Type": CONTENT_TYPE,
    }
    if refusal.reason is exchange.Reason.UNAUTHENTICATED:
        fields["WWW-Authenticate"] = "Bearer"
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after.total_seconds())
        fields["Retry-After"] = str(max(1, seconds))
    return fields


def body(refusal: exchange.Refusal, request_id: str) -> bytes:
    """The problem body of a refusal."""
    problem = {
        "type": f"urn:endivewind:{refusal.reason.value}",
        "title": refusal.reason.value.replace("-", " "),
        "status": status(refusal),
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    return json.dumps(problem).encode()
