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
        # Only of targets that have announced how long they stay slow.
        self._durations: dict[str, datetime.timedelta] = {}

    def start(
        self,
        target: str,
        now: datetime.timedelta,
        duration: datetime.timedelta = SLOW_START_DURATION,
    ) -> None:
        """Starts or restarts the slow start of a target.

        Args:
          target: the target.
          now: the current time.
          duration: how long it takes.
        """
        self._started_at[target] = now
        self._durations.pop(target, None)
        if duration != SLOW_START_DURATION:
            self._durations[target] = duration

    def elapsed_share(self, target: str, now: datetime.timedelta) -> float:
        """Returns which share of the slow start is over; 1 if all of it."""
        started_at = self._started_at.get(target)
        if started_at is None:
            return 1.0
        duration = self._durations.get(target, SLOW_START_DURATION)
        if now - started_at < duration:
            return (now - started_at) / duration
        self.forget((target,))
        return 1.0

    def usable_slots(
        self, target: str, slots: int, now: datetime.timedelta
    ) -> int:
        """Returns how many slots of a target this node may use now."""
        if target not in self._started_at:
            return slots
        return max(1, int(slots * self.elapsed_share(target, now)))

    def forget(self, targets: collections.abc.Iterable[str]) -> None:
        """Removes targets that have departed."""
        for target in targets:
            self._started_at.pop(target, None)
            self._durations.pop(target, None)
