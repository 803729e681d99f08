"""Reserves retries for the calls that a repeat is likely to make.

Scenario: targets of a service call another service and fail afterwards. Risk:
each retry of their requests makes its calls once more. These calls are retries
of the called service, but can't be refused without failing their request, so
that they alone may exceed its budget. So the home of a target reserves retries
of the called services before it sends a retried request, and refuses the
request if there are none. The calls are repeats themselves, so that their homes
do the same for the calls that are made for them.

`targets/dispatch.py` reserves, and `callers/target_calls.py` spends what is
reserved as the calls arrive.
"""

import collections.abc

import expression

from endivewind import clock as clocks
from endivewind.callers import budgets
from endivewind.callers import target_calls
from endivewind.decisions import inherited_priority
from endivewind.decisions import retry_budget

# Classes of requests that make fewer calls on average need no reservation: their
# calls are attributed to them by mistake, or are few enough to be charged.
MIN_EXPECTED_CALLS = 0.1


class CallReservation:
    """Retries of the called services that one request has reserved."""

    def __init__(
        self,
        retries: collections.abc.Mapping[str, retry_budget.TakenRetries],
        clock: clocks.Clock,
    ) -> None:
        """Initializes a reservation.

        Args:
          retries: the retries by service.
          clock: the clock; its monotonic time is used.
        """
        self._retries = retries
        self._clock = clock

    def spend(self, service: str, amount: float) -> float:
        """Spends a part of a retry for a call that arrives now.

        Args:
          service: the called service.
          amount: the probability that the request makes this call.

        Returns:
          How much of it was reserved.
        """
        retries = self._retries.get(service)
        if retries is None:
            return 0.0
        return retries.spend(amount, self._clock.monotonic())

    def release(self) -> None:
        """Gives back what is left, as the request makes no further calls."""
        for retries in self._retries.values():
            retries.cancel()

    def abandon(self) -> None:
        """Counts what is left, as the target may go on with the request."""
        now = self._clock.monotonic()
        for retries in self._retries.values():
            retries.record_sent(now)


class CallReserver:
    """Reserves retries of the budgets of this node for its target's calls."""

    def __init__(
        self,
        calls: target_calls.TargetCalls,
        retry_budgets: budgets.RetryBudgets,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the reserver.

        Args:
          calls: learns which requests make calls.
          retry_budgets: the budgets of all services.
          clock: the clock; its monotonic time is used.
        """
        self._calls = calls
        self._budgets = retry_budgets
        self._clock = clock

    def record_request(
        self, request: inherited_priority.RunningRequest
    ) -> None:
        """Counts a request that is sent to the target."""
        self._calls.record_request(request)

    async def reserve(
        self, request: inherited_priority.RunningRequest
    ) -> expression.Result[CallReservation, str]:
        """Reserves retries for the calls of a request that is to be sent.

        Returns:
          The reservation; the name of a service that has no retries left.
        """
        retries: dict[str, retry_budget.TakenRetries] = {}
        reservation = CallReservation(retries, self._clock)
        expected = self._calls.expected_calls(request)
        try:
            for service, count in expected.items():
                if count < MIN_EXPECTED_CALLS:
                    continue
                taken = await self._budgets.reserve(
                    service, count * request.repeat_probability
                )
                if taken is None:
                    reservation.release()
                    return expression.Error(service)
                retries[service] = taken
        except BaseException:
            reservation.release()
            raise
        return expression.Ok(reservation)
