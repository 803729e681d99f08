"""When a starting node's configuration is whole enough to take callers."""

import datetime

from endivewind.config import spreading

# One peer may itself have missed a change; three that agree to the last
# version rarely all have.
JOIN_PEERS = 3
# A platform that has lost its store lists nothing. Peers get this long to
# say what is in force before the listing alone is believed.
JOIN_LIMIT = datetime.timedelta(seconds=2)


class Joining:
    """Decides once when a node is ready; no input or output.

    Load: a node replaced while the platform is away, or back with an empty
    store. Harm: it would refuse callers for routes that are in force
    everywhere else. Several peers that agree with it are enough, since one
    change reaches all of them within seconds.
    """

    def __init__(self, spreader: spreading.Spreader) -> None:
        self._spreader = spreader
        self._listed_at: datetime.timedelta | None = None

    def listed(self, now: datetime.timedelta) -> None:
        """Takes that a whole listing of the platform has been applied."""
        if self._listed_at is None:
            self._listed_at = now

    def missing(self, known_peers: int, now: datetime.timedelta) -> str | None:
        """None when ready, else what is still missing."""
        if self._spreader.ready:
            return None
        agreed = len(self._spreader.agreed)
        if self._enough(agreed, known_peers, now):
            self._spreader.ready = True
            return None
        if self._listed_at is None:
            return (
                "no configuration yet: the platform has not answered, and "
                f"{agreed} of {max(1, min(JOIN_PEERS, known_peers))} peers agree"
            )
        return "no peer has confirmed the platform's configuration yet"

    def _enough(
        self, agreed: int, known_peers: int, now: datetime.timedelta
    ) -> bool:
        if self._listed_at is not None:
            return agreed > 0 or now - self._listed_at >= JOIN_LIMIT
        return agreed >= min(JOIN_PEERS, max(1, known_peers))
