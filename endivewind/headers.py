"""Names of the HTTP headers that endivewind reads and writes."""

WORKSPACE = "Endivewind-Workspace"
TIMEOUT_MS = "Endivewind-Timeout-Ms"
REQUEST_ID = "Endivewind-Request-Id"
OUTCOME = "Endivewind-Outcome"
REASON = "Endivewind-Reason"
IDEMPOTENCY_KEY = "Idempotency-Key"

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
