"""Readiness of a starting node: whether its configuration is complete."""

import collections.abc

from endivewind.config import replication

# A single peer may itself have missed a change. Three peers that hold the same
# versions as this node have rarely all missed it.
MIN_AGREEING_PEERS = 3


class Readiness:
    """Decides when a starting node is ready; does no I/O.

    Scenario: a node is replaced while the platform is unavailable. Risk: it
    refuses requests for routes that are in force everywhere else. A complete
    listing from the platform suffices, since the platform loses nothing that
    it has acknowledged. Without one, several peers with the same configuration
    suffice, since a change reaches all of them within seconds.
    """

    def __init__(
        self,
        replicator: replication.Replicator,
        kinds: collections.abc.Iterable[str],
    ) -> None:
        """Creates the check for a node without configuration.

        Args:
          replicator: knows which peers have the same configuration.
          kinds: the kinds of objects that have to be listed.
        """
        self._replicator = replicator
        self._unlisted = set(kinds)

    def mark_listed(self, kind: str) -> None:
        """Records that the complete listing of a kind has been applied."""
        self._unlisted.discard(kind)

    def not_ready_reason(self, known_peers: int) -> str | None:
        """Returns why the node is not ready yet; None if it is ready.

        Once ready, the node stays ready: the first call that returns None also
        sets the replicator's is_ready. From then on its messages say that this
        node is ready, and it compares digests less often.
        """
        if self._replicator.is_ready:
            return None
        agreed = len(self._replicator.agreeing_peers)
        required = min(MIN_AGREEING_PEERS, max(1, known_peers))
        if not self._unlisted or agreed >= required:
            self._replicator.is_ready = True
            return None
        return (
            "no configuration yet: the platform has not responded, and "
            f"{agreed} of {required} peers agree"
        )
