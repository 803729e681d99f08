"""Settings of outlier ejection, one set for each service profile.

They bound the false alarms of the sequential test and set how long an ejection
lasts and how its trial ends.
"""

import dataclasses
import datetime
import math


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionSettings:
    """When a service's targets are ejected and when they return.

    Attributes:
      false_alarm_probability: upper bound of the probability that one run of
        a test ejects a healthy target. A run begins when the test's evidence
        rises from zero, which may happen at any request of the target.
      base_ejection_time: time from the first ejection to the trial.
      max_ejection_time: upper limit of the ejection time, which doubles for a
        target that flaps.
      trial_successes: consecutive successes after which a target in trial
        returns to normal.
      trial_failures: failures after which a target in trial is ejected again.
    """

    false_alarm_probability: float
    base_ejection_time: datetime.timedelta
    max_ejection_time: datetime.timedelta
    trial_successes: int
    trial_failures: int

    @property
    def threshold(self) -> float:
        """Evidence at which a target is ejected (upper SPRT threshold)."""
        return -math.log(self.false_alarm_probability)


# Prefers fast detection, for services whose users notice every slow second.
# Four consecutive failures eject a target, and one that was ejected by mistake
# is back within seconds. Three would not be enough: when a workspace begins to
# send requests that fail at every target, three in a row at one are common.
FAST_DETECTION_PRESET = EjectionSettings(
    false_alarm_probability=1e-6,
    base_ejection_time=datetime.timedelta(seconds=3),
    max_ejection_time=datetime.timedelta(minutes=5),
    trial_successes=8,
    trial_failures=2,
)
# Prefers keeping capacity, for services where targets that are lost at night
# are not replaced until morning, so that a false alarm costs capacity that may
# already be short. At ten requests per second a target has nearly a million
# chances of a false alarm per day; with this bound each test has less than one
# false alarm in ten thousand days.
KEEP_CAPACITY_PRESET = EjectionSettings(
    false_alarm_probability=1e-10,
    base_ejection_time=datetime.timedelta(seconds=3),
    max_ejection_time=datetime.timedelta(minutes=2),
    trial_successes=8,
    trial_failures=3,
)
