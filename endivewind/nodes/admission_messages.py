"""Encodes demand and admission levels as thrift structs of gossip datagrams."""

import datetime
from typing import Any

from endivewind.decisions import admission_level
from endivewind.nodes import codec

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SHARE_SCALE = 1000
# Bound of counts and times in a report, so that a faulty one can't make the
# coordinator compute with values that no node reaches.
_MAX_COUNT = 1_000_000
# Bound of a sender's clock: 31 years after its start.
_MAX_TIME_MS = 10**12


def encode_demand(demand: admission_level.ServiceDemand) -> Any:
    """Returns the struct of a report."""
    return codec.messages.ServiceDemand(
        service_name=demand.service,
        period_ms=demand.period // _MILLISECOND,
        classes=[
            codec.messages.ClassDemand(
                item.priority, item.workspace, item.weight, round(item.count)
            )
            for item in demand.classes
        ],
        served=demand.served,
        placed=demand.placed,
        delayed=demand.delayed,
        waiting=demand.waiting,
        oldest_wait_ms=demand.oldest_wait // _MILLISECOND,
        reused=demand.reused,
        backlog=round(_SHARE_SCALE * demand.backlog),
        refused=demand.refused,
        ended_ms=_optional_milliseconds(demand.ended),
        interval_ms=_optional_milliseconds(demand.interval),
    )


def decode_demand(struct: Any) -> admission_level.ServiceDemand:
    """Returns the report of a struct.

    Raises:
      ValueError: if it names no service.
    """
    if not struct.service_name:
        raise ValueError("demand without a service")
    return admission_level.ServiceDemand(
        struct.service_name,
        max(1, _count(struct.period_ms)) * _MILLISECOND,
        tuple(
            admission_level.ClassDemand(
                item.priority or 0,
                item.workspace or "",
                max(1, _count(item.weight)),
                _count(item.requests),
            )
            for item in struct.classes or ()
            # Demand of zero would be divided by.
            if _count(item.requests)
        ),
        _count(struct.served),
        _count(struct.placed),
        _count(struct.delayed),
        _count(struct.waiting),
        _count(struct.oldest_wait_ms) * _MILLISECOND,
        _count(struct.reused),
        _count(struct.backlog) / _SHARE_SCALE,
        _count(struct.refused),
        _optional_time(struct.ended_ms),
        _optional_time(struct.interval_ms),
    )


def encode_level(level: admission_level.AdmissionLevel) -> Any:
    """Returns the struct of a level."""
    return codec.messages.AdmissionLevel(
        service_name=level.service,
        number=level.number,
        valid_ms=level.valid_for // _MILLISECOND,
        lowest_priority=level.lowest_priority,
        share=round(_SHARE_SCALE * level.share),
        workspace_shares=[
            codec.messages.WorkspaceShare(
                item.workspace, round(_SHARE_SCALE * item.share)
            )
            for item in level.workspace_shares
        ]
        or None,
        retry_after_ms=level.retry_after // _MILLISECOND,
    )


def decode_level(struct: Any) -> admission_level.AdmissionLevel:
    """Returns the level of a struct.

    Raises:
      ValueError: if a field is missing. Read as 0, it would refuse requests
        that the coordinator admits, or end the level.
    """
    if not struct.service_name:
        raise ValueError("admission level without a service")
    required = (
        struct.number,
        struct.valid_ms,
        struct.lowest_priority,
        struct.share,
        struct.retry_after_ms,
        *(item.share for item in struct.workspace_shares or ()),
    )
    if None in required:
        raise ValueError("admission level without a number, time or share")
    return admission_level.AdmissionLevel(
        struct.service_name,
        struct.number,
        _count(struct.valid_ms) * _MILLISECOND,
        struct.lowest_priority,
        _share(struct.share),
        tuple(
            admission_level.WorkspaceShare(
                item.workspace or "", _share(item.share)
            )
            for item in struct.workspace_shares or ()
        ),
        _count(struct.retry_after_ms) * _MILLISECOND,
    )


def _count(value: int | None) -> int:
    return min(max(0, value or 0), _MAX_COUNT)


def _optional_milliseconds(value: datetime.timedelta | None) -> int | None:
    return None if value is None else value // _MILLISECOND


def _optional_time(value: int | None) -> datetime.timedelta | None:
    if value is None:
        return None
    return min(max(0, value), _MAX_TIME_MS) * _MILLISECOND


def _share(value: int | None) -> float:
    return min(_count(value), _SHARE_SCALE) / _SHARE_SCALE
