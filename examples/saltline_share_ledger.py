"""Saltline Share Ledger: shares of catch money, and species codes.

Nobody is awake at night to bring capacity back, so both services weigh
capacity. Each has 12 servers in three regions: 4 targets of 3 slots in a
region, of which ejection may take one.
"""

import datetime

from endivewind import operators

HOST = "saltline.example"


def build() -> operators.Firm:
    """The firm's configuration."""
    firm = operators.Firm("saltline")
    ledger = firm.service(
        "share-ledger",
        profile=operators.Profile.CAPACITY,
        slots=3,
        targets_per_region=4,
        floor_targets=3,
        # Skippers may wait, but they must see their own trip.
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
    # A doubled payout means a clawback that sours the whole boat.
    firm.route(
        ledger,
        host=HOST,
        prefix="/payouts",
        repeat=operators.Repeat.NEVER,
        priority=operators.Priority.HIGH,
    )
    firm.route(catalog, host=HOST, prefix="/catalog")
    ledger_service = firm.workspace("ledger-service", weight=4, burst=200)
    # The ledger's own look-ups go before those of people at the catalog.
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
