"""Registers targets, whichever interface they announce themselves through.

Called by the HTTP API of targets and by the receiver of platform heartbeats.
"""

import collections.abc

from endivewind.targets import records
from endivewind.targets import registry

DefaultSlotsLookup = collections.abc.Callable[[str], int]
# Returns why an announcement is refused; empty if it is accepted.
AnnouncementCheck = collections.abc.Callable[[registry.Announcement], str]
# Saves which targets have left; returns whether it outlives this process.
SaveDepartures = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


class NotSavedError(Exception):
    """A target's leaving is in effect, but a restart would forget it."""


def accept_any(announcement: registry.Announcement) -> str:
    """Accepts any announcement."""
    return ""


async def save_nothing() -> bool:
    """Returns True; for a node whose departures need not be saved."""
    return True


class Registration:
    """Updates the registry and notifies the node of changes to publish."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        default_slots_of: DefaultSlotsLookup,
        on_change: collections.abc.Callable[[], None],
        check: AnnouncementCheck = accept_any,
        save_departures: SaveDepartures = save_nothing,
    ) -> None:
        """Initializes the registration.

        Args:
          targets: the targets of this home node.
          default_slots_of: returns a service's default for targets that declare
            no number of slots.
          on_change: called when there is a change to publish to the fleet.
          check: returns why an announcement is not accepted as genuine; empty
            if it is.
          save_departures: saves the departures of the targets.
        """
        self._targets = targets
        self._default_slots_of = default_slots_of
        self._on_change = on_change
        self._check = check
        self._save_departures = save_departures

    async def announce(
        self, target: str, announcement: registry.Announcement
    ) -> str | None:
        """Processes an announcement; returns why it was refused, or None.

        Raises:
          NotSavedError: the target is draining, which could not be saved.
        """
        refusal = self._check(announcement)
        if refusal:
            return refusal
        slots = self._default_slots_of(announcement.service)
        old_sequence = self._targets.sequence
        result = self._targets.announce(target, announcement, slots)
        if self._targets.sequence != old_sequence:
            self._on_change()
        if result.is_error():
            return result.error
        if announcement.state is records.State.DRAINING:
            await self._save()
        return None

    async def _save(self) -> None:
        """Saves departures.

        An acknowledged departure holds for good, so that it is acknowledged
        only if no restart can undo it.
        """
        if not await self._save_departures():
            raise NotSavedError("the platform's store does not respond")

    async def withdraw(
        self, target: str, incarnation: int = 0, max_incarnation: int = 0
    ) -> bool:
        """Processes a target's own withdrawal.

        Args:
          target: the target's id.
          incarnation: the target's incarnation; 0 if not given.
          max_incarnation: upper bound of the incarnation; 0 if there is none.
            If the target is not registered at this node and its incarnation is
            not given, announcements up to this one are refused for
            DEPARTURE_RETENTION.

        Returns:
          False if the target is not registered.

        Raises:
          NotSavedError: the withdrawal could not be saved.
        """
        is_known = self._targets.depart(target, incarnation, max_incarnation)
        if is_known:
            self._on_change()
        await self._save()
        return is_known
