"""A budget for retries: a share of the recent requests of a service."""

# What a service with little traffic may retry at any time; without it one
# failed request in a quiet minute could not be tried again.
RESERVE = 3.0
# What a quiet hour may save up; more would let a storm start.
MOST = 20.0


class RetryBudget:
    """Tokens that requests bring in and retries take out.

    Load: every target of a service fails, or most are full. Harm: with three
    tries for each request the service gets three times the load just when it
    can take least, and stays down. The budget bounds the extra work to its
    share of the requests, whatever fails, and hedges take from it too.
    """

    __slots__ = ("_share", "_tokens")

    def __init__(self, percent: int) -> None:
        self._share = percent / 100
        self._tokens = RESERVE

    def configure(self, percent: int) -> None:
        """Takes another share."""
        self._share = percent / 100

    def request(self) -> None:
        """Takes note of a request of a caller."""
        self._tokens = min(MOST, self._tokens + self._share)

    def take(self) -> bool:
        """Whether one more try is allowed; takes it from the budget."""
        if not self._share or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
