"""Settings of services, with defaults for services not configured."""

from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import capacity_floor


class ServiceSettings:
    """Looks up single settings of any service by the service's name."""

    def __init__(self, configuration: store.ConfigurationStore) -> None:
        self._configuration = configuration

    def slots(self, service: str) -> int:
        """Returns the slots of a target that announces none."""
        return self._service_or_default(service).slots

    def floor(self, service: str) -> int:
        """Returns the capacity floor in slots per region.

        0 means that the floor is a share of the region's slots (floor_share).
        """
        return self._service_or_default(service).floor_slots

    def floor_share(self, service: str) -> float:
        """Returns the capacity floor as a share of a region's slots."""
        percent = self._service_or_default(service).floor_percent
        return percent / 100 if percent else capacity_floor.DEFAULT_FLOOR_SHARE

    def profile(self, service: str) -> objects.Profile:
        """Returns the profile of error bounds for ejecting its targets."""
        return self._service_or_default(service).profile

    def is_known(self, service: str) -> bool:
        """Returns whether the configuration contains the service."""
        return self._configuration.service(service) is not None

    def _service_or_default(self, service: str) -> objects.Service:
        return self._configuration.service(service) or objects.Service()
