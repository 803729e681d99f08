"""What the configuration says of a service, with what holds where it doesn't."""

from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import capacity_floor


class ServiceSettings:
    """Looks up one setting of a service by the service's name."""

    def __init__(self, configuration: store.ConfigurationStore) -> None:
        self._configuration = configuration

    def slots(self, service: str) -> int:
        """Slots of a target that declares none."""
        return self._found(service).slots

    def floor(self, service: str) -> int:
        """Slots in each region that stay in use; 0 where a share does."""
        return self._found(service).floor_slots

    def floor_share(self, service: str) -> float:
        """Share of a region's slots that stays in use."""
        percent = self._found(service).floor_percent
        return percent / 100 if percent else capacity_floor.DEFAULT_FLOOR_SHARE

    def profile(self, service: str) -> objects.Profile:
        """How its targets are judged."""
        return self._found(service).profile

    def is_known(self, service: str) -> bool:
        """Whether the configuration names it."""
        return self._configuration.service(service) is not None

    def _found(self, service: str) -> objects.Service:
        return self._configuration.service(service) or objects.Service()
