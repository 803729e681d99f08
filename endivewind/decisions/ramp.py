"""Slots of a target that has just come, come back or is still cold."""

import collections.abc
import datetime

# A restarted target fills its caches and pools in seconds; the trials of one
# that returns have shown that it works, and not that it bears full load.
SPAN = datetime.timedelta(seconds=10)


class Ramps:
    """Slots that grow over a span from one to all.

    Load: many entries hear of one new target in the same second, and each
    has work for all its slots. Harm: a cold target gets its full share at
    once, is slow for all of it, and is ejected or sheds. Each entry begins
    with one slot and adds the others evenly.
    """

    def __init__(self) -> None:
        self._since: dict[str, datetime.timedelta] = {}

    def begin(self, target: str, now: datetime.timedelta) -> None:
        """Starts a target's ramp, or starts it again."""
        self._since[target] = now

    def slots(self, target: str, slots: int, now: datetime.timedelta) -> int:
        """How many of its slots this entry uses now."""
        since = self._since.get(target)
        if since is None:
            return slots
        if now - since >= SPAN:
            del self._since[target]
            return slots
        return max(1, int(slots * ((now - since) / SPAN)))

    def forget(self, targets: collections.abc.Iterable[str]) -> None:
        """Drops targets that have left."""
        for target in targets:
            self._since.pop(target, None)
