"""Error bounds of the gray-failure test, one set for each profile."""

import dataclasses
import datetime
import math


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBounds:
    """Which errors a service's ejections may make.

    Attributes:
      false_alarm: probability that one test ejects a healthy target.
      hold: how long a target stays out before its first trial.
      max_hold: where a hold that flapping lengthens ends.
      trial_successes: good answers in a row that end a trial.
      trial_failures: bad answers that end it the other way.
    """

    false_alarm: float
    hold: datetime.timedelta
    max_hold: datetime.timedelta
    trial_successes: int
    trial_failures: int

    @property
    def threshold(self) -> float:
        """Evidence at which a target is ejected (Wald's upper bound)."""
        return -math.log(self.false_alarm)


# Camerino's crews feel every slow second: four failures in a row are enough,
# and a target that was wrongly ejected is back after seconds. Three would be
# met by chance whenever one workspace begins to send what fails everywhere.
DETECTION = ErrorBounds(
    false_alarm=1e-6,
    hold=datetime.timedelta(seconds=3),
    max_hold=datetime.timedelta(minutes=5),
    trial_successes=8,
    trial_failures=2,
)
# Saltline's capacity that is lost at night stays lost until morning. At ten
# requests a second a target has about a million chances a day of a false
# alarm; this bound leaves less than one in a thousand days for each test.
CAPACITY = ErrorBounds(
    false_alarm=1e-10,
    hold=datetime.timedelta(seconds=3),
    max_hold=datetime.timedelta(minutes=2),
    trial_successes=8,
    trial_failures=3,
)
