"""Registers targets, whichever interface they announce themselves through.

Called by the HTTP API of targets and by the receiver of platform heartbeats.
"""

import collections.abc

from endivewind.targets import registry

DefaultSlotsLookup = collections.abc.Callable[[str], int]
# Returns why an announcement is refused; empty if it is accepted.
AnnouncementCheck = collections.abc.Callable[[registry.Announcement], str]


def accept_any(announcement: registry.Announcement) -> str:
    """Accepts any announcement."""
    return ""


class Registration:
    """Updates the registry and notifies the node of changes to publish."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        default_slots_of: DefaultSlotsLookup,
        on_change: collections.abc.Callable[[], None],
        check: AnnouncementCheck = accept_any,
    ) -> None:
        """Initializes the registration.

        Args:
          targets: the targets of this home node.
          default_slots_of: returns a service's default for targets that declare
            no number of slots.
          on_change: called when there is a change to publish to the fleet.
          check: returns why an announcement is not accepted as genuine; empty
            if it is.
        """
        self._targets = targets
        self._default_slots_of = default_slots_of
        self._on_change = on_change
        self._check = check

    def announce(
        self, target: str, announcement: registry.Announcement
    ) -> str | None:
        """Processes an announcement; returns why it was refused, or None."""
        refusal = self._check(announcement)
        if refusal:
            return refusal
        slots = self._default_slots_of(announcement.service)
        old_sequence = self._targets.sequence
        result = self._targets.announce(target, announcement, slots)
        if self._targets.sequence != old_sequence:
            self._on_change()
        return result.error if result.is_error() else None

    def withdraw(
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
        """
        if not self._targets.depart(target, incarnation, max_incarnation):
            return False
        self._on_change()
        return True
