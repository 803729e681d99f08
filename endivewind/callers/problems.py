"""Converts refusals to HTTP: status, headers and problem details (RFC 9457).

The listener and the connections use it for every response that the fleet gives
instead of a target.
"""

import json
import math

from endivewind import exchange
from endivewind import headers

CONTENT_TYPE = "application/problem+json"

_STATUS_BY_REASON = {
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
    exchange.Reason.CALL_BUDGET: 503,
    exchange.Reason.CUT_SHORT: 504,
    exchange.Reason.INTERNAL: 500,
}


# Statuses after which HTTP clients assume that the request was not executed.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that do not tell HTTP clients whether the request was executed.
_UNKNOWN_OUTCOME_STATUSES = frozenset({502, 504})


def status(refusal: exchange.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    Scenario: a home whose log of attempts is full refuses with "busy" a request
    that may have been executed. Risk: the caller gets 503, repeats a payout,
    and it is paid twice. So, whatever the reason, the outcome decides between
    statuses that mean "not executed" and those that leave this open.
    """
    default_status = _STATUS_BY_REASON[refusal.reason]
    if refusal.outcome is exchange.ExecutionOutcome.NOT_RUN:
        return (
            503
            if default_status in _UNKNOWN_OUTCOME_STATUSES
            else default_status
        )
    return 502 if default_status in _NOT_RUN_STATUSES else default_status


def header_fields(
    refusal: exchange.Refusal,
    request_id: str,
    id_field: str = headers.REQUEST_ID,
) -> dict[str, str]:
    """Returns a refusal's headers.

    Args:
      refusal: the refusal.
      request_id: the id of the refused request.
      id_field: the name of the header with the request id.
    """
    header_values = {
        headers.OUTCOME: refusal.outcome.value,
        headers.REASON: refusal.reason.value,
        id_field: request_id,
        "Content-Type": CONTENT_TYPE,
    }
    if refusal.reason is exchange.Reason.UNAUTHENTICATED:
        header_values["WWW-Authenticate"] = "Bearer"
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after.total_seconds())
        header_values["Retry-After"] = str(max(1, seconds))
    return header_values


def body(refusal: exchange.Refusal, request_id: str) -> bytes:
    """Returns a refusal as a JSON problem details object."""
    problem = {
        "type": f"urn:endivewind:{refusal.reason.value}",
        "title": refusal.reason.value.replace("-", " "),
        "status": status(refusal),
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    return json.dumps(problem).encode()
