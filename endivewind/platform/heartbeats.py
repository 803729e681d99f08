"""The HTTP API by which the platform's targets announce themselves.

Translates heartbeats and deregistrations into announcements of the project's
own target registration. Each heartbeat renews the target's lease.
"""

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

# A lease of four heartbeat intervals survives one late heartbeat and two lost
# ones.
HEARTBEATS_PER_LEASE = 4
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
    cold_remaining_s: float = pydantic.Field(
        default=0, ge=0, allow_inf_nan=False
    )


class _Heartbeat(pydantic.BaseModel):
    """What a target sends.

    Attributes:
      address: host and port at which it accepts requests.
      born: time of its start in Unix milliseconds; orders the incarnations at
        one address.
    """

    address: pydantic.StrictStr
    born: pydantic.StrictInt = pydantic.Field(default=0, ge=0)
    info: _Info
    status: _Status


class _Deregistration(pydantic.BaseModel):
    """A target's departure; most targets omit their start time."""

    born: pydantic.StrictInt = pydantic.Field(
        default=0, ge=0, le=registry.MAX_NUMBER
    )


WaitForPeers = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def no_wait() -> None:
    """Returns at once, for a node that need not wait for its peers."""


class HeartbeatApi:
    """Forwards heartbeats and deregistrations to the target registration."""

    def __init__(
        self,
        target_registration: registration.Registration,
        heartbeat_ms: collections.abc.Callable[[], int],
        clock: clocks.Clock,
        wait_for_peers: WaitForPeers = no_wait,
    ) -> None:
        """Builds the API.

        Args:
          target_registration: receives the announcements.
          heartbeat_ms: returns the heartbeat interval of the targets.
          clock: the clock of the VM on which the targets run, too. They use it
            for their incarnations, so a deregistration without a start time
            applies to incarnations up to the present time.
          wait_for_peers: waits until this node has received its peers' state
            of its own targets, those whose home node it is.
        """
        self._clock = clock
        self._wait_for_peers = wait_for_peers
        self._target_registration = target_registration
        self._heartbeat_ms = heartbeat_ms

    def make_application(self) -> web.Application:
        """Makes the web application with the routes of the API."""
        app = web.Application()
        app.router.add_post(names.HEARTBEAT_PATH, self._heartbeat)
        app.router.add_post(names.DEREGISTER_PATH, self._deregister)
        return app

    async def _heartbeat(self, request: web.Request) -> web.Response:
        target = request.match_info["id"]
        try:
            heartbeat = _Heartbeat.model_validate_json(await request.read())
            announcement = self._make_announcement(heartbeat)
        except pydantic.ValidationError as error:
            return _bad_request(target, error)
        await self._wait_for_peers()
        try:
            refusal = await self._target_registration.announce(
                target, announcement
            )
        except registration.NotSavedError as error:
            return _not_saved(target, error)
        if refusal is not None:
            return web.json_response({"title": refusal}, status=409)
        return web.json_response({})

    async def _deregister(self, request: web.Request) -> web.Response:
        target = request.match_info["id"]
        try:
            body = await request.read() or b"{}"
            deregistration = _Deregistration.model_validate_json(body)
        except pydantic.ValidationError as error:
            return _bad_request(target, error)
        now_ms = round(self._clock.now().timestamp() * 1000)
        try:
            await self._target_registration.withdraw(
                target, deregistration.born, max_incarnation=now_ms
            )
        except registration.NotSavedError as error:
            return _not_saved(target, error)
        return web.json_response({})

    def _make_announcement(
        self, heartbeat: _Heartbeat
    ) -> registry.Announcement:
        lease_ms = min(
            HEARTBEATS_PER_LEASE * self._heartbeat_ms(), MAX_LEASE_MS
        )
        state = _STATES.get(heartbeat.status.state)
        cold_ms = round(heartbeat.status.cold_remaining_s * 1000)
        if state is records.State.READY and cold_ms:
            state = records.State.COLD
        return registry.Announcement.model_validate(
            {
                "service": heartbeat.info.service,
                "address": f"http://{heartbeat.address}",
                "incarnation": heartbeat.born,
                "sequence": heartbeat.status.sequence,
                "slots": heartbeat.info.slots,
                # An unknown state is passed on unchanged, so that validation of
                # the announcement fails and reports it.
                "state": state or heartbeat.status.state,
                "cold_ms": cold_ms,
                "lease_ms": lease_ms,
            }
        )


def _bad_request(target: str, error: pydantic.ValidationError) -> web.Response:
    place, problem = wire.first_problem(error)
    fields = logs.fields(target=target, place=place, problem=problem)
    log.warning("invalid heartbeat or deregistration", extra=fields)
    return web.json_response({"title": "bad heartbeat"}, status=400)


def _not_saved(target: str, error: registration.NotSavedError) -> web.Response:
    log.warning(
        "leaving not acknowledged",
        extra=logs.fields(target=target, problem=str(error)),
    )
    return web.json_response({"title": str(error)}, status=503)
