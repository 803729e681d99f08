"""Model of the settings for demand above capacity."""

import pydantic

from endivewind.config import base

_BYTES_PER_MEGABIT = 125_000
_BYTES_PER_MEGABYTE = 1_000_000


class OverloadControl(base.Model):
    """Decisions that nodes make together while capacity is scarce.

    All are off by default: each node then decides by itself.

    Attributes:
      shared_admission: whether the nodes of an availability zone admit requests
        by one level for each service.
      inherited_priority: whether calls of the target on this VM take the
        priority of the requests for which they are made.
      prioritized_retries: whether retries that are scarce go to urgent requests
        first.
      measured_capacity: whether requests are placed by the measured capacity of
        targets instead of their number of slots.
      region_megabits_per_second: what all nodes together may send each way
        between two regions; 0 limits each node by itself.
      link_megabits_per_second: what this VM's own link carries each way; 0 if
        unknown.
      memory_megabytes: memory that this process may use; 0 if unknown.
    """

    shared_admission: pydantic.StrictBool = False
    inherited_priority: pydantic.StrictBool = False
    prioritized_retries: pydantic.StrictBool = False
    measured_capacity: pydantic.StrictBool = False
    region_megabits_per_second: pydantic.StrictFloat = pydantic.Field(
        default=0, ge=0
    )
    link_megabits_per_second: pydantic.StrictFloat = pydantic.Field(
        default=0, ge=0
    )
    memory_megabytes: pydantic.StrictFloat = pydantic.Field(default=0, ge=0)

    @property
    def region_bytes_per_second(self) -> int:
        """Bytes each way between two regions, for all nodes together."""
        return int(self.region_megabits_per_second * _BYTES_PER_MEGABIT)

    @property
    def link_bytes_per_second(self) -> int:
        """Bytes each way on this VM's own link."""
        return int(self.link_megabits_per_second * _BYTES_PER_MEGABIT)

    @property
    def memory_bytes(self) -> int:
        """Memory that this process may use."""
        return int(self.memory_megabytes * _BYTES_PER_MEGABYTE)
