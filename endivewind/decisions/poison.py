"""Tells requests that crash their targets from those that were only there."""

import collections
import dataclasses
import datetime

# One crash under a request says little: something had to be running. A second
# one at another target, with no answer to the same request in between, is
# unlikely to be chance; a third would cost a third target.
CRASHES = 2
# A caller that sends such a request again does so within minutes. Longer would
# keep a request out after its target was mended.
HOLD = datetime.timedelta(minutes=10)
# 1,024 fingerprints of 32 bytes take some 300 KB at most; the oldest go first.
MAX_SUSPECTS = 1024


@dataclasses.dataclass(slots=True)
class _Suspect:
    last: datetime.timedelta
    targets: set[str] = dataclasses.field(default_factory=set)


class PoisonBook:
    """Requests that were at a target when it was lost, by fingerprint.

    Load: one request that crashes each target that runs it, and a caller that
    sends it again. Harm: with retries it takes out a service's targets one
    after another, and each looks sick by itself. A popular request is at many
    targets when one crashes; its answers elsewhere clear it at once.
    """

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Requests under suspicion; 0 spares callers the fingerprint."""
        return len(self._suspects)

    def crashed(
        self, fingerprint: bytes, target: str, now: datetime.timedelta
    ) -> None:
        """Takes a target that was lost with the request on it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last >= HOLD:
            suspect = self._suspects[fingerprint] = _Suspect(now)
        suspect.last = now
        suspect.targets.add(target)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def answered(self, fingerprint: bytes) -> None:
        """Takes an answer to the request: its targets survive it."""
        self._suspects.pop(fingerprint, None)

    def refused_for(
        self, fingerprint: bytes, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """How much longer to refuse the request; None to let it pass."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        left = suspect.last + HOLD - now
        if left <= datetime.timedelta():
            del self._suspects[fingerprint]
            return None
        return left if len(suspect.targets) >= CRASHES else None
