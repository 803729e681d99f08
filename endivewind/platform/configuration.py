"""Converts the operators' configuration into an object of kind `document`.

A `document` is a complete configuration in one object, in the project's own
format.

The configuration reader calls decode() for each object that it reads from
the platform's store.
"""

from typing import Annotated
from typing import Any
from typing import Literal

import expression
import pydantic

from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import store
from endivewind.platform import messages
from endivewind.platform import names
from endivewind.platform import wire

_VERSION_BASE = 16
# Route types whose requests are idempotent; a download is a read with a large
# response. Type "safe" permits repeating requests of any HTTP method, so it is
# not RepeatPolicy.SAFE_METHODS.
_REPEAT_POLICIES = {
    "safe": objects.RepeatPolicy.ALWAYS,
    "download": objects.RepeatPolicy.ALWAYS,
}


class _Metadata(pydantic.BaseModel):
    name: str = ""


class _Share(pydantic.BaseModel):
    service: str
    weight: int = 1


class _RouteSpec(pydantic.BaseModel):
    """A route as the operator writes it.

    Attributes:
      route_type: "safe" or "download" for idempotent requests; requests of
        any other type run at most once.
      timeout_s: the longest time that a caller waits.
      target_latency_s: the latency objective; a response within it has the
        highest value.
      priority: 0 is the most important.
    """

    host: str
    path_prefix: str
    route_type: str
    timeout_s: float = 0
    target_latency_s: float = 0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: int = 0
    anonymous: bool = False


class _TenantSpec(pydantic.BaseModel):
    """A workspace as the operator writes it.

    Attributes:
      api_keys: its keys, as callers send them.
      priority: overrides the priority of routes; 0 is the most important.
      rate_per_s: requests per second over all nodes; 0 means no limit.
      burst: requests allowed at once above the rate.
    """

    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: int = 0


class _ServiceSpec(pydantic.BaseModel):
    health_path: str = ""
    max_connections: int = 0


class _LimitsSpec(pydantic.BaseModel):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Route(pydantic.BaseModel):
    resource_type: Literal["routes"]
    metadata: _Metadata = _Metadata()
    spec: _RouteSpec


class _Service(pydantic.BaseModel):
    resource_type: Literal["services"]
    metadata: _Metadata
    spec: _ServiceSpec


class _Limits(pydantic.BaseModel):
    resource_type: Literal["limits"]
    spec: _LimitsSpec


class _Tenant(pydantic.BaseModel):
    resource_type: Literal["tenants"]
    metadata: _Metadata
    spec: _TenantSpec


class _Unknown(pydantic.BaseModel):
    """A resource type of a later release, which is ignored."""


_Resource = Annotated[
    _Route | _Service | _Tenant | _Limits | _Unknown,
    pydantic.Field(union_mode="left_to_right"),
]


class _Configuration(pydantic.BaseModel):
    version: str = pydantic.Field(pattern=r"^[0-9a-fA-F]{1,15}$")
    resources: list[_Resource] = []


def decode(
    stored: messages.StoredObject, defaults: objects.Service
) -> expression.Result[messages.StoredObject, str]:
    """Converts the operators' object into one of kind `document`.

    Args:
      stored: the object as the platform stores it.
      defaults: the settings of a service that the operators omit.

    Returns:
      The document under the operator's version, or why it is invalid.
    """
    try:
        decoded = _Configuration.model_validate(stored.value)
        document = _decode_document(decoded.resources, defaults)
        without_service = [
            item for item in document.routes if not _has_service(item)
        ]
        if without_service:
            return expression.Error(
                f"{without_service[0].prefix}: the route names no service"
            )
        keys = _decode_keys(decoded.resources)
        if keys.is_error():
            return expression.Error(keys.error)
        document = document.model_copy(update={"keys": keys.ok})
    except pydantic.ValidationError as error:
        return expression.Error(wire.format_first_problem(error))
    except (OverflowError, ValueError) as error:
        # JSON numbers may be infinite: 1e999.
        return expression.Error(f"a time is not finite: {error}")
    envelope = store.Envelope(
        spec=document.model_dump(mode="json", exclude_defaults=True),
        operation=decoded.version,
        version=int(decoded.version, _VERSION_BASE),
    )
    return expression.Ok(
        messages.StoredObject(
            kind=store.DOCUMENT,
            name=names.CONFIGURATION_NAME,
            version=stored.version,
            value=envelope.model_dump(mode="json", exclude_defaults=True),
        )
    )


def _decode_document(
    resources: list[Any], defaults: objects.Service
) -> objects.Document:
    services: dict[str, objects.Service] = {}
    routes: list[objects.Route] = []
    workspaces: dict[str, objects.Workspace] = {}
    limits: objects.CallerLimits | None = None
    for item in resources:
        match item:
            case _Service():
                services[item.metadata.name] = _decode_service(
                    item.spec, defaults
                )
            case _Route():
                routes.append(_decode_route(item.spec))
            case _Tenant():
                name = item.metadata.name
                workspaces[name] = _decode_workspace(name, item.spec)
            case _Limits():
                limits = _decode_limits(item.spec)
    return objects.Document(
        services=services,
        routes=tuple(routes),
        workspaces=workspaces,
        keyed=bool(workspaces),
        limits=limits,
    )


def _decode_keys(
    resources: list[Any],
) -> expression.Result[dict[str, str], str]:
    """Returns the workspace of each key by the key's digest, or the problem.

    A problem names the workspace and the key's index in its list, since keys
    must not be logged.
    """
    workspaces: dict[str, str] = {}
    for item in resources:
        if not isinstance(item, _Tenant):
            continue
        name = item.metadata.name
        for index, key in enumerate(item.spec.api_keys):
            place = f"tenants.{name}.api_keys.{index}"
            checked = caller_keys.checked_digest(key)
            if checked.is_error():
                return expression.Error(f"{place}: {checked.error}")
            known = workspaces.setdefault(checked.ok, name)
            if known != name:
                return expression.Error(f"{place}: {known} has the same key")
    return expression.Ok(workspaces)


def _has_service(route: objects.Route) -> bool:
    return bool(route.service or route.split)


def _decode_service(
    spec: _ServiceSpec, defaults: objects.Service
) -> objects.Service:
    return defaults.model_copy(
        update={
            "health_path": spec.health_path,
            "max_connections": spec.max_connections,
        }
    )


def _decode_workspace(name: str, spec: _TenantSpec) -> objects.Workspace:
    """Decodes a workspace; on this platform each is a firm of its own."""
    return objects.Workspace(
        firm=name,
        rate=spec.rate_per_s,
        burst=spec.burst,
        rank=spec.priority,
    )


def _decode_route(spec: _RouteSpec) -> objects.Route:
    split = tuple(
        objects.SplitEntry(service=item.service, weight=item.weight)
        for item in spec.traffic_split
    )
    return objects.Route(
        host=spec.host,
        prefix=spec.path_prefix,
        service="" if split else spec.service,
        split=split,
        repeat=_REPEAT_POLICIES.get(
            spec.route_type, objects.RepeatPolicy.NEVER
        ),
        rank=spec.priority,
        timeout_ms=_to_milliseconds(spec.timeout_s),
        aim_ms=_to_milliseconds(spec.target_latency_s),
        attempts=spec.max_attempts,
        anonymous=spec.anonymous,
    )


def _decode_limits(spec: _LimitsSpec) -> objects.CallerLimits:
    return objects.CallerLimits(
        header_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        header_timeout_ms=_to_milliseconds(spec.header_timeout_s),
        idle_timeout_ms=_to_milliseconds(spec.idle_timeout_s),
    )


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
