"""Slow start: targets that have just joined or returned get few requests.

Used by each entry node when it selects a target.
"""

import collections.abc
import datetime

# A restarted target fills its caches and pools within seconds. The trial of a
# returning target has shown that it works, not that it can take full load.
SLOW_START_DURATION = datetime.timedelta(seconds=10)


class SlowStart:
    """Raises the usable slots of targets linearly from one to all.

    Scenario: many entry nodes learn of a new target within the same second, and
    each has requests for all its slots. Risk: a cold target gets its full
    share at once, responds slowly to all of it, and is ejected or sheds load.
    Each entry node starts with one slot and adds the others evenly.
    """

    def __init__(self) -> None:
        self._started_at: dict[str, datetime.timedelta] = {}

    def start(self, target: str, now: datetime.timedelta) -> None:
        """Starts or restarts the slow start of a target."""
        self._started_at[target] = now

    def usable_slots(
        self, target: str, slots: int, now: datetime.timedelta
    ) -> int:
        """Returns how many slots of a target this node may use now."""
        started_at = self._started_at.get(target)
        if started_at is None:
            return slots
        if now - started_at >= SLOW_START_DURATION:
            del self._started_at[target]
            return slots
        return max(1, int(slots * ((now - started_at) / SLOW_START_DURATION)))

    def forget(self, targets: collections.abc.Iterable[str]) -> None:
        """Removes targets that have departed."""
        for target in targets:
            self._started_at.pop(target, None)
