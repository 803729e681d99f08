"""When a starting node's configuration is whole enough to take callers."""

import collections.abc

from endivewind.config import spreading

# One peer may itself have missed a change; three that agree to the last
# version rarely all have.
JOIN_PEERS = 3


class Joining:
    """Decides once when a node is ready; no input or output.

    Load: a node replaced while the platform is away. Harm: it would refuse
    callers for routes that are in force everywhere else. What the platform
    lists is enough, since it loses nothing that it has acknowledged. Without
    it several peers that agree with this node are, since one change reaches
    all of them within seconds.
    """

    def __init__(
        self,
        spreader: spreading.Spreader,
        kinds: collections.abc.Iterable[str],
    ) -> None:
        """Starts with nothing.

        Args:
          spreader: knows which peers agree.
          kinds: what has to be listed.
        """
        self._spreader = spreader
        self._unlisted = set(kinds)

    def listed(self, kind: str) -> None:
        """Takes that a whole listing of one kind has been applied."""
        self._unlisted.discard(kind)

    def missing(self, known_peers: int) -> str | None:
        """None when ready, else what is still missing."""
        if self._spreader.ready:
            return None
        agreed = len(self._spreader.agreed)
        wanted = min(JOIN_PEERS, max(1, known_peers))
        if not self._unlisted or agreed >= wanted:
            self._spreader.ready = True
            return None
        return (
            "no configuration yet: the platform has not answered, and "
            f"{agreed} of {wanted} peers agree"
        )
