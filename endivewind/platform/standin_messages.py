"""Messages that the platform's targets and operators send, for stand-ins."""

import collections.abc
import dataclasses
from typing import Any

from endivewind.platform import names


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStart:
    """One start of a target.

    Attributes:
      id: its id, which no other start has.
      service: the service that it belongs to.
      address: host and port at which it accepts requests.
      started_ms: time of the start in Unix milliseconds.
      slots: requests that it runs at the same time.
    """

    id: str
    service: str
    address: str
    started_ms: int
    slots: int

    def heartbeat(self, sequence: int) -> tuple[str, dict[str, Any]]:
        """Returns path and body of a heartbeat.

        Args:
          sequence: its number, higher than that of the one before.
        """
        body = {
            "address": self.address,
            "born": self.started_ms,
            "info": {"service": self.service, "slots": self.slots},
            "status": {"state": "ready", "sequence": sequence},
        }
        return names.HEARTBEAT_PATH.format(id=self.id), body

    def deregistration(self) -> tuple[str, dict[str, Any]]:
        """Returns path and body of the word that it leaves."""
        return names.DEREGISTER_PATH.format(id=self.id), {}


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of requests to a service.

    Attributes:
      prefix: of the paths.
      service: the service that they go to.
      is_idempotent: whether they may run more than once.
      timeout_seconds: their time limit.
      attempts: targets that one request may run at.
    """

    prefix: str
    service: str
    is_idempotent: bool = True
    timeout_seconds: float = 6.0
    attempts: int = 3


def make_configuration(
    version: int, host: str, routes: collections.abc.Sequence[Route]
) -> dict[str, Any]:
    """Returns the object that an operator writes to the platform."""
    services = {route.service for route in routes}
    resources: list[dict[str, Any]] = [
        {
            "resource_type": "routes",
            "metadata": {"name": route.prefix.strip("/")},
            "spec": {
                "host": host,
                "path_prefix": route.prefix,
                "route_type": "safe" if route.is_idempotent else "unsafe",
                "timeout_s": route.timeout_seconds,
                "target_latency_s": 2.5,
                "priority": 2,
                "service": route.service,
                "max_attempts": route.attempts,
            },
        }
        for route in routes
    ]
    resources += [
        {
            "resource_type": "services",
            "metadata": {"name": service},
            "spec": {"health_path": "/health", "max_connections": 330},
        }
        for service in sorted(services)
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67_108_864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    resources.append(
        {"resource_type": "limits", "metadata": {}, "spec": limits}
    )
    return {
        "metadata": {"name": names.CONFIGURATION_NAME},
        "spec": {"version": f"{version:08x}", "resources": resources},
    }
