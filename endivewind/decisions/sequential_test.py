"""Sequential test for a target that shows a signal more often than its peers.

Implements the sequential probability ratio test (SPRT) of Wald. Each request
adds the log-likelihood ratio of its outcome at an unhealthy target against a
healthy one. The sum is clamped at zero (Page's CUSUM), so a target that was
healthy for hours is detected as fast as one that has just started. Used by
`outlier_detection` and `baseline`.
"""

import dataclasses
import datetime
import enum
import math

# Evidence decays with idle time: three errors within an hour at a target with
# little traffic mean nothing, three within a second do.
EVIDENCE_HALF_LIFE = datetime.timedelta(seconds=30)
# If half of the service's requests show the signal, no target is an outlier.
MAX_EXPECTED_SHARE = 0.5


class OutlierSignal(enum.IntEnum):
    """What a single request can show that indicates an outlier.

    The sequential tests count these signals. The suspicion of a target is
    estimated from others, `suspicion.SuspicionSignal`.
    """

    FAILED = 0
    SLOW = 1
    STALLED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FaultHypothesis:
    """A kind of fault: the alternative hypothesis of one sequential test.

    Attributes:
      name: cause of an ejection, as shown to operators.
      signal: signal that the test counts.
      affected_share: share of requests that show the signal because of the
        fault, if they do not show it at a healthy target anyway.
      min_expected_share: lower bound of the share that is expected of a
        healthy target.
    """

    name: str
    signal: OutlierSignal
    affected_share: float
    min_expected_share: float


# One test is run for each. Errors are tested at three shares, because a test
# for a share of 0.1 needs a hundred requests to detect what a test for a share
# of 0.8 detects in three.
FAULT_HYPOTHESES = (
    FaultHypothesis("some requests fail", OutlierSignal.FAILED, 0.1, 0.01),
    FaultHypothesis("many requests fail", OutlierSignal.FAILED, 0.3, 0.01),
    FaultHypothesis("most requests fail", OutlierSignal.FAILED, 0.8, 0.01),
    FaultHypothesis("slow", OutlierSignal.SLOW, 0.5, 0.05),
    FaultHypothesis("stalled", OutlierSignal.STALLED, 0.8, 0.001),
)


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceStep:
    """Evidence that one request adds to a test.

    Attributes:
      with_signal: evidence added by a request that shows the signal.
      without_signal: evidence, zero or less, added by one that does not.
    """

    with_signal: float
    without_signal: float


NO_STEP = EvidenceStep(0.0, 0.0)


def evidence_step(
    hypothesis: FaultHypothesis, expected_share: float
) -> EvidenceStep:
    """Returns the log-likelihood ratios of one request's two outcomes.

    Args:
      hypothesis: the fault to test for.
      expected_share: share of requests that show the signal at a healthy
        target.

    Returns:
      Evidence for each outcome; zero for both if the expected share is too
      high for any target to be an outlier.
    """
    healthy_share = max(expected_share, hypothesis.min_expected_share)
    if healthy_share >= MAX_EXPECTED_SHARE:
        return NO_STEP
    unhealthy_share = (
        healthy_share + (1 - healthy_share) * hypothesis.affected_share
    )
    return EvidenceStep(
        math.log(unhealthy_share / healthy_share),
        math.log((1 - unhealthy_share) / (1 - healthy_share)),
    )


def decay_evidence(value: float, idle: datetime.timedelta) -> float:
    """Returns the evidence that remains after a time without requests."""
    if value <= 0 or idle <= datetime.timedelta():
        return value
    return float(value * 0.5 ** (idle / EVIDENCE_HALF_LIFE))
