"""Graceful shutdown (drain) of a node.

The node runs it when it is stopped. It defines the order in which the parts of
the node refuse new requests, and what is waited for in between.
"""

import asyncio
import collections.abc
import contextlib
import datetime
import logging
from typing import Protocol

log = logging.getLogger(__name__)

# Connections still open at the stop limit are closed after this. Without this
# timeout the HTTP server waits another minute, and the VM can't be replaced.
FORCED_CLOSE_TIMEOUT = datetime.timedelta(milliseconds=500)
# Responses to requests that are aborted at the limit are short and written
# immediately; a caller that does not read them must not delay the shutdown.
FINAL_RESPONSES_TIMEOUT = datetime.timedelta(milliseconds=100)


# Latest time at which this home announces its drain to the other nodes, as a
# share of the stop limit, which is the timeout of `GracefulShutdown.run`. It is
# announced earlier if the notice period is shorter. From then on they send it
# no more requests, so a target that can't move to another home is idle until
# this node has restarted and the target has announced itself again. With the
# drain announced at once, a rolling stop of half the nodes took a quarter of
# all targets out of use. Requests that arrive just before still have most of
# the limit to complete.
DRAIN_NOTICE_SHARE = 0.3


class WorkIntake(Protocol):
    """A component that accepts requests."""

    def refuse_new(self) -> None:
        """Refuses new requests from now on."""

    def refuse_outlasting(self, timeout: datetime.timedelta) -> None:
        """Refuses requests that may be lost when this node ends.

        Args:
          timeout: the time until this node ends.
        """


class HomeDispatcher(WorkIntake, Protocol):
    """Dispatches requests of all nodes to this node's targets."""

    def refuse_queued(self) -> None:
        """Refuses new requests and those not sent to a target yet."""


class CallerListener(WorkIntake, Protocol):
    """The listener for callers."""

    async def wait_drained(self) -> None:
        """Waits until nothing is being served."""

    def abort_all(self) -> None:
        """Aborts running requests.

        Each caller gets the outcome, as far as it is known.
        """


class PeerListener(Protocol):
    """The listener for other nodes."""

    async def wait_drained(self) -> None:
        """Waits until nothing is being served."""


class TicketedRequestHandler(Protocol):
    """Handles non-idempotent requests, which carry tickets."""

    def refuse_new_tickets(self) -> None:
        """Refuses to start new requests."""

    async def wait_drained(self) -> None:
        """Waits until no request is running."""

    def remaining_retention(self) -> datetime.timedelta:
        """Returns how long stored responses may still be requested."""


class GracefulShutdown:
    """Shuts a node down in stages so that running requests can complete.

    At first callers' requests are still accepted: their load balancers notice
    within one or two probes that the node is not ready. Those that may outlast
    the node are refused, and the targets get none any more that may outlast it
    and could then not be retried.
    Then the drain is announced, so that peers send no more requests for this
    home's targets. After the notice period new requests are refused with a
    retry delay, and running ones complete. Stored responses stay available
    until the limit. Requests that still run at the limit are aborted, and their
    callers get the outcome as far as it is known.
    """

    def __init__(
        self,
        entry: CallerListener,
        home: HomeDispatcher,
        links: PeerListener,
        tickets: TicketedRequestHandler,
        notice_period: datetime.timedelta,
        announce_drain: collections.abc.Callable[[], None],
    ) -> None:
        """Builds a shutdown.

        Args:
          entry: the listener for callers.
          home: dispatches requests to this node's targets.
          links: the listener for other nodes.
          tickets: handles non-idempotent requests.
          notice_period: how long new requests of callers are still accepted.
          announce_drain: announces to the fleet that this home drains.
        """
        self._notice_period = notice_period
        self._announce_drain = announce_drain
        self._entry = entry
        self._home = home
        self._links = links
        self._tickets = tickets

    async def run(self, timeout: datetime.timedelta) -> None:
        """Returns when the process may exit, after the limit at the latest."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                self._entry.refuse_outlasting(timeout)
                self._home.refuse_outlasting(timeout)
                delay = min(self._notice_period, DRAIN_NOTICE_SHARE * timeout)
                await asyncio.sleep(delay.total_seconds())
                self._announce_drain()
                await asyncio.sleep(
                    (self._notice_period - delay).total_seconds()
                )
                self._entry.refuse_new()
                self._tickets.refuse_new_tickets()
                await self._entry.wait_drained()
                self._home.refuse_new()
                await self._tickets.wait_drained()
                await self._links.wait_drained()
                log.info("drained")
                await asyncio.sleep(
                    self._tickets.remaining_retention().total_seconds()
                )
        except TimeoutError:
            log.info("stop limit reached")
            await self._abort()

    async def _abort(self) -> None:
        """Aborts what still runs and lets the outcomes reach the callers.

        Other nodes wait for the outcomes of requests that they have forwarded
        to this node as the issuer, and pass them on to their callers.
        """
        self._tickets.refuse_new_tickets()
        self._home.refuse_queued()
        self._entry.abort_all()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_RESPONSES_TIMEOUT.total_seconds()):
                await self._entry.wait_drained()
                await self._tickets.wait_drained()
                await self._links.wait_drained()
