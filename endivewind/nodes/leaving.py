"""A node's planned departure: what is refused when, and what is waited for."""

import asyncio
import collections.abc
import contextlib
import datetime
import logging
from typing import Protocol

log = logging.getLogger(__name__)

# Work that is still there at the limit is cut; without this bound the HTTP
# server waits another minute for it and the VM can't be replaced.
CUT_AFTER = datetime.timedelta(milliseconds=500)
# Answers to requests that are ended at the limit are short and written at
# once; a caller that does not read them must not hold up the rest.
LAST_ANSWERS = datetime.timedelta(milliseconds=100)


# When the fleet is told to send a home no more, as a part of the stop's limit.
# Its target can't move and stands idle from then until the next start has
# heard of it: told at once, a rolling stop of half the nodes took a quarter of
# all targets out of use. Work that comes last still has most of the limit.
TURN_AWAY_SHARE = 0.3


class Door(Protocol):
    """A way in for work."""

    def refuse_new(self) -> None:
        """Refuses new work from now on."""


class Entry(Door, Protocol):
    """The listener for callers."""

    async def drained(self) -> None:
        """Waits until nothing is being served."""

    def end(self) -> None:
        """Ends what is being served, each with its outcome."""


class Links(Protocol):
    """The listener for other nodes."""

    async def drained(self) -> None:
        """Waits until nothing is being served."""


class Tickets(Protocol):
    """Work that must not repeat."""

    def close(self) -> None:
        """Starts nothing more."""

    async def drained(self) -> None:
        """Waits until nothing runs."""

    def kept_for(self) -> datetime.timedelta:
        """How long a resend may still be answered from here."""


class Departure:
    """Leads a node out in order, so that no request is cut.

    First all work is still taken: callers' balancers see within a probe or
    two that the node is not ready. Then peers hear that its target is to get
    no more. After the notice new work is refused with the time to come back;
    what is in flight ends; kept answers stay reachable until the
    limit.
    """

    def __init__(
        self,
        entry: Entry,
        home: Door,
        links: Links,
        tickets: Tickets,
        notice: datetime.timedelta,
        turn_away: collections.abc.Callable[[], None],
    ) -> None:
        """Builds a departure.

        Args:
          entry: the listener for callers.
          home: hands work over to this node's targets.
          links: the listener for other nodes.
          tickets: work that must not repeat.
          notice: how long new work of callers is still taken.
          turn_away: tells the fleet to send this home no more.
        """
        self._notice = notice
        self._turn_away = turn_away
        self._entry = entry
        self._home = home
        self._links = links
        self._tickets = tickets

    async def run(self, limit: datetime.timedelta) -> None:
        """Returns when the node may end; after the limit at the latest."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                first = min(self._notice, TURN_AWAY_SHARE * limit)
                await asyncio.sleep(first.total_seconds())
                self._turn_away()
                await asyncio.sleep((self._notice - first).total_seconds())
                self._entry.refuse_new()
                self._tickets.close()
                await self._entry.drained()
                self._home.refuse_new()
                await self._tickets.drained()
                await self._links.drained()
                log.info("drained")
                await asyncio.sleep(self._tickets.kept_for().total_seconds())
        except TimeoutError:
            log.info("stop limit reached")
            await self._end()

    async def _end(self) -> None:
        self._entry.end()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS.total_seconds()):
                await self._entry.drained()
