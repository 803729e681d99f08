"""Camerino Abierto: rider consultations and supplier confirmations.

Crews wait at venues while a failing target keeps its work, so both services
weigh detection. Each has 12 servers in three regions: 4 targets of 3 slots
in a region, of which ejection may take one.
"""

import datetime

from endivewind import operators

HOST = "camerino.example"


def build() -> operators.Firm:
    """The firm's configuration."""
    firm = operators.Firm("camerino")
    riders = firm.service(
        "riders",
        profile=operators.Profile.DETECTION,
        slots=3,
        targets_per_region=4,
        floor_targets=3,
        timeout=datetime.timedelta(seconds=5),
    )
    venues = firm.service(
        "venues",
        profile=operators.Profile.DETECTION,
        slots=3,
        targets_per_region=4,
        floor_targets=3,
        timeout=datetime.timedelta(seconds=10),
    )
    firm.route(riders, host=HOST, prefix="/riders")
    firm.route(venues, host=HOST, prefix="/venues")
    # A doubled confirmation makes a supplier deliver twice, whatever the
    # method; a lost one empties a green room, so it is refused last.
    firm.route(
        venues,
        host=HOST,
        prefix="/venues/confirmations",
        repeat=operators.Repeat.NEVER,
        priority=operators.Priority.HIGH,
    )
    # Searches by POST change nothing and may be sent again.
    firm.route(
        riders,
        host=HOST,
        prefix="/riders/search",
        repeat=operators.Repeat.ALWAYS,
        priority=operators.Priority.LOW,
    )
    firm.workspace("coordinators", weight=4, rate=200, burst=100)
    firm.workspace("tour-managers", weight=3, rate=200, burst=100)
    firm.workspace("venue-staff", weight=2, rate=100, burst=50)
    firm.workspace("suppliers", weight=1, rate=50, burst=20)
    return firm


if __name__ == "__main__":
    build().print()
