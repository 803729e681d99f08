"""Proofs of freshness: bounded staleness of the configuration in force.

A revoked key must stop working within a time bound, even at a node that
receives no updates. So a node serves requests that need a key only while it
can prove that its configuration was the newest at some time within the bound.
Without strict revocation nothing is refused, but proofs still show a node that
its watch has become silent or that it has missed a version. A proof is a version and a time at which no newer version existed: the start of
the read of the platform that returned the version. Nodes pass proofs on by
query and response. Does no I/O.
"""

import collections.abc
import dataclasses
import datetime

# The clocks of two machines may run at slightly different rates.
CLOCK_DRIFT_MARGIN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ProofResponse:
    """A node's response to a query for its proof.

    Attributes:
      version: the version that was the newest.
      age: how long before the response it was the newest.
    """

    version: int
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Proof:
    """A version, and a moment in this node's clock when none was newer."""

    version: int
    moment: datetime.timedelta


class FreshnessTracker:
    """Tracks the latest time at which this configuration was the newest.

    A node that is partitioned, or that receives a configuration late, may not
    know that a key was revoked. Without a recent proof it must not serve
    requests that need a key. The time of a proof is when the query was sent or
    the read started, in the clock of the querying node, so a delayed response
    only makes the proof older. A proof also holds if the version in force is
    higher than the proof's version, since no version higher than the proof's
    existed at the time of the proof. The clock includes time that the machine
    is suspended.
    """

    def __init__(
        self,
        in_force: collections.abc.Callable[[], int],
        bound: datetime.timedelta | None,
        *,
        is_required: bool = True,
    ) -> None:
        """Creates a tracker without a proof.

        Args:
          in_force: returns the version in force at this node.
          bound: maximum age of a proof; None if nodes exchange no proofs.
          is_required: whether requests that need a key are refused without a
            proof.
        """
        self._in_force = in_force
        self._bound = bound
        self._is_required = is_required
        self._proof: _Proof | None = None
        # The latest proof for a version that this node does not have yet.
        self._pending_proof: _Proof | None = None

    @property
    def bound(self) -> datetime.timedelta | None:
        """Maximum age of a proof; None if nodes exchange no proofs."""
        return self._bound

    @property
    def is_required(self) -> bool:
        """Whether requests that need a key are refused without a proof."""
        return self._bound is not None and self._is_required

    def configure(
        self, bound: datetime.timedelta | None, *, is_required: bool
    ) -> None:
        """Changes the maximum age of a proof, and whether one is required."""
        self._bound = bound
        self._is_required = is_required

    @property
    def is_behind(self) -> bool:
        """Whether a proof names a version that this node does not have yet."""
        self._apply_pending()
        return self._pending_proof is not None

    def record_proof(self, version: int, moment: datetime.timedelta) -> bool:
        """Records a proof: that no version was newer at a moment.

        The version was the newest at some time between the request and the
        response, so nothing newer existed at the time of the request.

        Args:
          version: the version that the platform or another node reported.
          moment: when it was requested, in this node's clock.

        Returns:
          Whether this proof is more recent than the previous one and replaces
          it. False if this node does not have the version yet; the latest
          such proof is kept until it does.
        """
        proof = _Proof(version, moment)
        if version > self._in_force():
            if (
                self._pending_proof is None
                or moment > self._pending_proof.moment
            ):
                self._pending_proof = proof
            return False
        if self._proof is not None and moment <= self._proof.moment:
            return False
        self._proof = proof
        return True

    def handle_response(
        self, response: ProofResponse, query_time: datetime.timedelta
    ) -> bool:
        """Records another node's response to a query.

        Args:
          response: the response.
          query_time: when the query was sent, in this node's clock.

        Returns:
          Whether this proof is more recent than the previous one and replaces
          it. False if this node does not have the version yet; the latest
          such proof is kept until it does.
        """
        age = max(response.age, datetime.timedelta())
        return self.record_proof(response.version, query_time - age)

    def make_response(self, now: datetime.timedelta) -> ProofResponse | None:
        """Returns the response to a query; None without a proof."""
        self._apply_pending()
        if self._proof is None:
            return None
        return ProofResponse(self._proof.version, now - self._proof.moment)

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the age of the proof; None if there is none."""
        self._apply_pending()
        return None if self._proof is None else now - self._proof.moment

    def is_fresh(self, now: datetime.timedelta) -> bool:
        """Returns whether requests that need a key may be served now."""
        if self._bound is None or not self._is_required:
            return True
        age = self.age(now)
        return age is not None and age <= self._bound * (1 - CLOCK_DRIFT_MARGIN)

    def _apply_pending(self) -> None:
        """Applies a proof whose version has come into force since."""
        pending = self._pending_proof
        if pending is not None and pending.version <= self._in_force():
            self._pending_proof = None
            self.record_proof(pending.version, pending.moment)
