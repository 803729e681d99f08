"""Takes what targets say of themselves, whatever interface they use."""

import collections.abc

from endivewind.targets import registry

Slots = collections.abc.Callable[[str], int]
Admits = collections.abc.Callable[[registry.Announcement], str]


def admits_all(announcement: registry.Announcement) -> str:
    """Refuses no announcement."""
    return ""


class Registration:
    """Feeds the registry and tells the node when the fleet must hear."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        default_slots: Slots,
        changed: collections.abc.Callable[[], None],
        refusal: Admits = admits_all,
    ) -> None:
        """Builds it.

        Args:
          targets: this home's targets.
          default_slots: slots of a target that declares none, by service.
          changed: called when the fleet must hear of a change.
          refusal: why an announcement can't be genuine; empty if it may be.
        """
        self._targets = targets
        self._default_slots = default_slots
        self._changed = changed
        self._refusal = refusal

    def announce(
        self, target: str, announcement: registry.Announcement
    ) -> str | None:
        """Takes an announcement; returns why it was refused, or None."""
        refused = self._refusal(announcement)
        if refused:
            return refused
        slots = self._default_slots(announcement.service)
        before = self._targets.sequence
        result = self._targets.announce(target, announcement, slots)
        if self._targets.sequence != before:
            self._changed()
        return result.error if result.is_error() else None

    def withdraw(
        self, target: str, incarnation: int = 0, latest: int = 0
    ) -> bool:
        """Takes a target's leave; False if it is not known.

        Args:
          target: its id.
          incarnation: its start; 0 where it is not told.
          latest: the latest start that it can be.
        """
        if not self._targets.depart(target, incarnation, latest):
            return False
        self._changed()
        return True
