"""Connections to a target that may have gone silent while new ones work."""

import datetime

# Long enough that what is wrong between the two ends shows as well on fresh
# connections, if it does; short enough to cost few new connections (1 ms).
WINDOW = datetime.timedelta(seconds=60)


class ConnectionDoubts:
    """Tells a silent connection from a target that does not answer.

    Load: steady work over pooled connections. Harm: something between home
    and target loses track of them, each request on them waits out its
    deadline, and a healthy target is ejected. After the first that got no
    answer on a reused connection the target gets fresh connections only, for
    a window, and is blamed for what happens on those. A target that hangs is
    so judged one sample later, a silent connection costs it nothing.
    """

    def __init__(self) -> None:
        self._until: dict[str, datetime.timedelta] = {}

    def fresh_only(self, target: str, now: datetime.timedelta) -> bool:
        """Whether the target's pooled connections are in doubt."""
        until = self._until.get(target)
        if until is None:
            return False
        if now < until:
            return True
        del self._until[target]
        return False

    def stalled(self, target: str, now: datetime.timedelta) -> bool:
        """Takes note that a reused connection gave no answer.

        Returns:
          Whether the connection is to blame: the first time in a window.
        """
        if self.fresh_only(target, now):
            return False
        self._until[target] = now + WINDOW
        return True
