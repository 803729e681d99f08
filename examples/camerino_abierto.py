"""Camerino Abierto: rider consultations and supplier confirmations.

Crews wait at venues while requests are stuck at a failing target, so both
services use the detection profile. Each has 12 servers in three regions: 4
targets of 3 slots in each region, of which one may be ejected.
"""

import datetime

from endivewind import operators

HOST = "camerino.example"


def build() -> operators.Firm:
    """Returns the firm's configuration."""
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
    # A confirmation that runs twice makes a supplier deliver twice, whatever
    # the method is. A lost one leaves a green room empty, so confirmations have
    # high priority.
    firm.route(
        venues,
        host=HOST,
        prefix="/venues/confirmations",
        repeat=operators.Repeat.NEVER,
        priority=operators.Priority.HIGH,
    )
    # Searches use POST but are idempotent, so they may be retried.
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
