"""Judges the paths from this entry to other homes, for this entry only."""

import dataclasses
import datetime

# One failure may come from an old connection that something on the way has
# forgotten; the pool drops its other idle connections to that home then, so
# the second failure in a row was on a fresh one and speaks of the path.
FAILURES_TO_CLOSE = 2
FIRST_HOLD = datetime.timedelta(seconds=1)
# A partition may last an hour; a trial every half minute costs one request
# in thousands and finds the path open soon after.
LAST_HOLD = datetime.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class _Path:
    failures: int = 0
    hold: datetime.timedelta = FIRST_HOLD
    closed_until: datetime.timedelta | None = None


class Paths:
    """Paths that failed are closed for a while, then tried with one request.

    Load: a one-way partition or a forgotten connection between one entry and
    one home, while others reach that home. Harm: each request placed there
    waits out the silence, and blaming the target would take healthy capacity
    from every entry. So the path is closed here and nowhere else.
    """

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}

    def usable(self, home: str, now: datetime.timedelta) -> bool:
        """Whether to place at the home's targets."""
        path = self._paths.get(home)
        return (
            path is None
            or path.closed_until is None
            or (now >= path.closed_until)
        )

    def started(self, home: str, now: datetime.timedelta) -> None:
        """Takes note of a request sent; a trial closes the path behind it.

        Without that every waiting request would try a path together as soon
        as its hold ends.
        """
        path = self._paths.get(home)
        if path and path.closed_until is not None:
            path.closed_until = now + path.hold

    def succeeded(self, home: str) -> None:
        """Takes note of an answer: the path is open."""
        self._paths.pop(home, None)

    def failed(self, home: str, now: datetime.timedelta) -> None:
        """Takes note of an exchange that broke or stayed silent."""
        path = self._paths.setdefault(home, _Path())
        path.failures += 1
        if path.failures < FAILURES_TO_CLOSE:
            return
        if path.closed_until is not None:
            path.hold = min(path.hold * 2, LAST_HOLD)
        path.closed_until = now + path.hold
