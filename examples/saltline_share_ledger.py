"""Saltline Share Ledger: shares of catch money, and species codes.

Nobody is on call at night to restore capacity, so both services use the
capacity profile. Each has 12 servers in three regions: 4 targets of 3 slots in
each region, of which one may be ejected.
"""

import datetime

from endivewind import operators

HOST = "saltline.example"


def build() -> operators.Firm:
    """Returns the firm's configuration."""
    firm = operators.Firm("saltline")
    ledger = firm.service(
        "share-ledger",
        profile=operators.Profile.CAPACITY,
        slots=3,
        targets_per_region=4,
        floor_targets=3,
        # Skippers can wait, but must be able to see their own trip.
        timeout=datetime.timedelta(seconds=20),
        queue_limit=256,
    )
    catalog = firm.service(
        "landing-catalog",
        profile=operators.Profile.CAPACITY,
        slots=3,
        targets_per_region=4,
        floor_targets=3,
        timeout=datetime.timedelta(seconds=2),
    )
    firm.route(ledger, host=HOST, prefix="/trips")
    # A payout that runs twice has to be reclaimed, which upsets the whole crew.
    firm.route(
        ledger,
        host=HOST,
        prefix="/payouts",
        repeat=operators.Repeat.NEVER,
        priority=operators.Priority.HIGH,
    )
    firm.route(catalog, host=HOST, prefix="/catalog")
    ledger_service = firm.workspace("ledger-service", weight=4, burst=200)
    # Look-ups by the ledger service have priority over those by people.
    firm.route(
        catalog,
        host=HOST,
        prefix="/catalog",
        workspace=ledger_service,
        priority=operators.Priority.HIGH,
    )
    firm.workspace("settlement-clerks", weight=3, rate=100, burst=50)
    firm.workspace("skippers", weight=2, rate=100, burst=50)
    firm.workspace("deckhands", weight=1, rate=50, burst=20)
    return firm


if __name__ == "__main__":
    build().print()
