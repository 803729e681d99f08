"""Sample values for the tests of several packages."""

from typing import Any

from endivewind.targets import records


def make_target_record(name: str, **changes: Any) -> records.TargetRecord:
    """Returns a ready, healthy target of service riders at home node-a."""
    fields: dict[str, Any] = {
        "service": "riders",
        "home": "node-a",
        "home_incarnation": 1,
        "sequence": 1,
        "region": "andina",
        "zone": "andina-a",
        "slots": 3,
        "weight": 1,
        "state": records.State.READY,
        "health": records.EjectionStatus.NORMAL,
    }
    return records.TargetRecord(id=name, **{**fields, **changes})
