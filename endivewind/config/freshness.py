"""Whether the configuration in force was the newest a short while ago.

A revoked key must stop working within a bound, also at a node that no news
reaches. So a node serves work that needs a key only while it can prove that
its configuration was the newest at a moment within the bound. Proofs start at
the beginning of a reading of the platform and pass from node to node as
question and answer. No input or output.
"""

import collections.abc
import dataclasses
import datetime

# Clocks of two machines may run at slightly different rates.
CLOCK_RATE_MARGIN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a node tells of its proof.

    Attributes:
      version: the version that was the newest.
      age: how long ago it was, when the answer was given.
    """

    version: int
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Proof:
    """A version that was the newest at a moment of this node's clock."""

    version: int
    moment: datetime.timedelta


class Freshness:
    """Keeps the latest moment at which what is in force was the newest.

    Failure: a node is cut off, or hears late, of a configuration that takes a
    key away. Symptom: the key's requests still run there. A moment is counted
    from when a question was sent or a reading begun, in the clock of the node
    that asks, so that whatever delays the answer only makes the proof older.
    A later version keeps the moment: it was accepted after an earlier one was
    the newest. The clock counts time asleep.
    """

    def __init__(
        self,
        in_force: collections.abc.Callable[[], int],
        bound: datetime.timedelta | None,
    ) -> None:
        """Starts without a proof.

        Args:
          in_force: the version in force at this node.
          bound: how old a proof may be; None where none is needed.
        """
        self._in_force = in_force
        self._bound = bound
        self._proof: _Proof | None = None
        # Of a version that this node does not have yet.
        self._ahead: _Proof | None = None

    @property
    def bound(self) -> datetime.timedelta | None:
        """How old a proof may be; None where none is needed."""
        return self._bound

    def limit(self, bound: datetime.timedelta | None) -> None:
        """Takes another bound."""
        self._bound = bound

    def proved(self, version: int, moment: datetime.timedelta) -> bool:
        """Takes that a version was the newest at a moment or after it.

        Args:
          version: as the platform or another node told it.
          moment: when it was asked for, in this node's clock.

        Returns:
          Whether this node's proof is younger by it.
        """
        found = _Proof(version, moment)
        if version > self._in_force():
            if self._ahead is None or moment > self._ahead.moment:
                self._ahead = found
            return False
        if self._proof is not None and moment <= self._proof.moment:
            return False
        self._proof = found
        return True

    def answered(self, answer: Answer, asked: datetime.timedelta) -> bool:
        """Takes the answer to a question that was sent at a moment.

        Returns:
          Whether this node's proof is younger by it.
        """
        age = max(answer.age, datetime.timedelta())
        return self.proved(answer.version, asked - age)

    def answer(self, now: datetime.timedelta) -> Answer | None:
        """What another node may be told, if there is a proof."""
        self._catch_up()
        if self._proof is None:
            return None
        return Answer(self._proof.version, now - self._proof.moment)

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """How old the proof is; None where there is none."""
        self._catch_up()
        return None if self._proof is None else now - self._proof.moment

    def is_proved(self, now: datetime.timedelta) -> bool:
        """Whether work that needs a key may be served now."""
        if self._bound is None:
            return True
        age = self.age(now)
        return age is not None and age <= self._bound * (1 - CLOCK_RATE_MARGIN)

    def _catch_up(self) -> None:
        """Uses a proof whose version has come into force since."""
        ahead = self._ahead
        if ahead is not None and ahead.version <= self._in_force():
            self._ahead = None
            self.proved(ahead.version, ahead.moment)
