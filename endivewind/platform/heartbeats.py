"""The calls by which targets of the platform tell of themselves."""

import collections.abc
import logging

from aiohttp import web
import pydantic

from endivewind import clock as clocks
from endivewind import logs
from endivewind.platform import names
from endivewind.platform import wire
from endivewind.targets import records
from endivewind.targets import registration
from endivewind.targets import registry

log = logging.getLogger(__name__)

# Targets send a heartbeat about this often at the slowest that is known; a
# lease of four of them outlives a late one and two that were lost.
LEASE_BEATS = 4
MAX_LEASE_MS = 60_000
_STATES = {
    "ready": records.State.READY,
    "draining": records.State.DRAINING,
}


class _Info(pydantic.BaseModel):
    service: pydantic.StrictStr
    slots: pydantic.StrictInt = pydantic.Field(ge=1)


class _Status(pydantic.BaseModel):
    state: pydantic.StrictStr
    sequence: pydantic.StrictInt = pydantic.Field(ge=0)
    cold_remaining_s: float = pydantic.Field(default=0, ge=0)


class _Heartbeat(pydantic.BaseModel):
    """What a target sends.

    Attributes:
      address: host and port where it takes requests.
      born: Unix millisecond of its start; orders the starts at one address.
    """

    address: pydantic.StrictStr
    born: pydantic.StrictInt = pydantic.Field(default=0, ge=0)
    info: _Info
    status: _Status


class _Deregistration(pydantic.BaseModel):
    """A target's leave; most of them say nothing of its start."""

    born: pydantic.StrictInt = pydantic.Field(default=0, ge=0)


Settled = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def at_once() -> None:
    """For a home that has nothing to wait for."""


class HeartbeatApi:
    """Passes heartbeats and deregistrations on, in the project's words."""

    def __init__(
        self,
        targets: registration.Registration,
        heartbeat_ms: collections.abc.Callable[[], int],
        clock: clocks.Clock,
        settled: Settled = at_once,
    ) -> None:
        """Builds the API.

        Args:
          targets: takes the announcements.
          heartbeat_ms: how often targets send one.
          clock: that of the target's VM, by which it numbers its starts.
          settled: waits until this home knows what its peers remember of its
            targets.
        """
        self._clock = clock
        self._settled = settled
        self._targets = targets
        self._heartbeat_ms = heartbeat_ms

    def application(self) -> web.Application:
        """The routes of the API."""
        app = web.Application()
        app.router.add_post(names.HEARTBEAT_PATH, self._heartbeat)
        app.router.add_post(names.DEREGISTER_PATH, self._deregister)
        return app

    async def _heartbeat(self, request: web.Request) -> web.Response:
        target = request.match_info["id"]
        try:
            given = _Heartbeat.model_validate_json(await request.read())
            announcement = self._announcement(given)
        except pydantic.ValidationError as error:
            return _bad(target, error)
        await self._settled()
        refused = self._targets.announce(target, announcement)
        if refused is not None:
            return web.json_response({"title": refused}, status=409)
        return web.json_response({})

    async def _deregister(self, request: web.Request) -> web.Response:
        target = request.match_info["id"]
        try:
            body = await request.read() or b"{}"
            given = _Deregistration.model_validate_json(body)
        except pydantic.ValidationError as error:
            return _bad(target, error)
        now_ms = round(self._clock.now().timestamp() * 1000)
        self._targets.withdraw(target, given.born, latest=now_ms)
        return web.json_response({})

    def _announcement(self, given: _Heartbeat) -> registry.Announcement:
        lease = min(LEASE_BEATS * self._heartbeat_ms(), MAX_LEASE_MS)
        state = _STATES.get(given.status.state)
        cold = round(given.status.cold_remaining_s * 1000)
        if state is records.State.READY and cold:
            state = records.State.COLD
        return registry.Announcement.model_validate(
            {
                "service": given.info.service,
                "address": f"http://{given.address}",
                "incarnation": given.born,
                "sequence": given.status.sequence,
                "slots": given.info.slots,
                # An unknown word is a finding of the announcement's own.
                "state": state or given.status.state,
                "cold_ms": cold,
                "lease_ms": lease,
            }
        )


def _bad(target: str, error: pydantic.ValidationError) -> web.Response:
    place, problem = wire.first_problem(error)
    fields = logs.fields(target=target, place=place, problem=problem)
    log.warning("heartbeat that can't be read", extra=fields)
    return web.json_response({"title": "bad heartbeat"}, status=400)
