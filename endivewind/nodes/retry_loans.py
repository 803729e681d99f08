"""Sends and answers requests for loans of retries between nodes.

`callers/retry_loans.py` decides when to ask, and `decisions/retry_budget.py`
what is lent.
"""

import collections.abc
import math
from typing import Any

from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view

_PER_RETRY = 1000
# The amount is a 32-bit integer on the wire, so it needs a bound.
_MAX_RETRIES = 1_000

# Lends retries of a service; returns how many.
Lend = collections.abc.Callable[[str, float], float]


class RetryLoanService:
    """Asks other nodes for retries, and lends them those of this node."""

    def __init__(self, pool: links.LinkPool, lend: Lend) -> None:
        """Initializes the service.

        Args:
          pool: links to the other nodes.
          lend: lends retries of this node.
        """
        self._pool = pool
        self._lend = lend

    async def request(
        self, lender: view.NodeRecord, service: str, amount: float
    ) -> float:
        """Asks a node for retries.

        Returns:
          What it lends, a part of a retry at least and `amount` at most; 0 if
          it lends nothing or does not respond. What is lent by a lost response
          is lost until it returns to the lender.
        """
        thousandths = math.ceil(min(amount, _MAX_RETRIES) * _PER_RETRY)
        query = codec.messages.RetryLoanAsk(
            service_name=service, thousandths=thousandths
        )
        response = await self._pool.query(
            lender.address,
            codec.messages.Frame(retry_loan_ask=query),
            links.QUERY_TIMEOUT,
        )
        grant = response.retry_loan_grant if response is not None else None
        if grant is None:
            return 0.0
        return max(0, min(grant.thousandths or 0, thousandths)) / _PER_RETRY

    def handle_query(self, query: Any) -> Any:
        """Returns the response frame to another node's ask for retries."""
        amount = max(0.0, (query.thousandths or 0) / _PER_RETRY)
        lent = self._lend(query.service_name or "", min(amount, _MAX_RETRIES))
        grant = codec.messages.RetryLoanGrant(
            thousandths=int(lent * _PER_RETRY)
        )
        return codec.messages.Frame(retry_loan_grant=grant)
