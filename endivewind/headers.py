"""Names of the HTTP headers that endivewind reads and writes."""

import dataclasses

WORKSPACE = "Endivewind-Workspace"
AUTHORIZATION = "Authorization"
OUTCOME = "Endivewind-Outcome"
REASON = "Endivewind-Reason"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_MS = "Endivewind-Timeout-Ms"
REQUEST_ID = "Endivewind-Request-Id"


@dataclasses.dataclass(frozen=True, slots=True)
class Names:
    """Headers whose names depend on where endivewind runs.

    Attributes:
      request_id: id of one request; callers may choose it.
      timeout_ms: milliseconds that the sender will wait.
      caller_service: service of the VM where the request entered; only the
        system may say it. Empty where targets are not told.
      expected_target: id of the target that a request is meant for; another
        one refuses it unrun. Empty where targets don't know it.
      not_run: in a target's answer, says that it did not run the request.
        Empty where targets never say so.
      workspace: the caller's workspace, as targets are told.
      answer_mark: in a target's answer, what marks it as its own. Empty where
        answers bear no mark.
    """

    request_id: str = REQUEST_ID
    timeout_ms: str = TIMEOUT_MS
    caller_service: str = ""
    expected_target: str = ""
    not_run: str = ""
    workspace: str = WORKSPACE
    answer_mark: str = ""


OWN = Names()

# RFC 9110, section 7.6.1: these belong to one connection and go no further.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
