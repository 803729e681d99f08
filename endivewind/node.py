"""One endivewind-node: puts the packages together and runs them."""

import asyncio
import dataclasses
import datetime
import logging
import random
from typing import Any

import aiohttp
from aiohttp import web

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind import tls
from endivewind.callers import gateway
from endivewind.callers import listener
from endivewind.callers import placement
from endivewind.config import objects
from endivewind.config import settings
from endivewind.config import store
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.operators import http
from endivewind.platform import client
from endivewind.platform import membership
from endivewind.platform import messages
from endivewind.platform import watcher
from endivewind.targets import api
from endivewind.targets import dispatch
from endivewind.targets import registry

log = logging.getLogger(__name__)

ANNOUNCE_PERIOD = datetime.timedelta(milliseconds=500)
EXPIRE_PERIOD = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses that a started node has bound."""

    callers: str
    targets: str
    nodes: str
    operators: str


class Node(links.Home):
    """A node: the entry for callers and the home of its targets."""

    def __init__(
        self,
        config: settings.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = config
        self._clock = clock
        self._rng = rng
        self._incarnation = int(clock.now().timestamp() * 1_000_000)
        self._configuration = store.ConfigurationStore()
        self._fleet = view.FleetView()
        identity = registry.HomeIdentity(
            config.name, self._incarnation, config.region, config.zone
        )
        self._targets = registry.TargetRegistry(identity, clock)
        self._pool = links.LinkPool(clock, tls.link_context(config.nodes_tls))
        self._link_server = links.LinkServer(self)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.BaseRunner] = []
        self._announce_now = asyncio.Event()
        self._stopping = False
        # Set by start(), which needs the running loop.
        self._dispatcher: dispatch.Dispatcher
        self._gateway: gateway.Gateway
        self._listener: listener.Listener
        self._platform: client.PlatformClient
        self._session: aiohttp.ClientSession
        self._watcher: watcher.Watcher
        self._self_record: view.NodeRecord

    @classmethod
    def from_settings(
        cls,
        config: settings.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> "Node":
        """Builds a node; nothing runs before start()."""
        return cls(config, clock, rng)

    async def start(self) -> Addresses:
        """Binds every address, joins the fleet and starts the tasks."""
        config = self._settings
        self._dispatcher = dispatch.Dispatcher.from_registry(self._targets)
        self._session = aiohttp.ClientSession()
        self._platform = client.PlatformClient(config.platform, self._session)
        place = placement.Place(config.name, config.region, config.zone)
        self._gateway = gateway.Gateway(
            config.name,
            placement.Placement(place, self._fleet, self._clock, self._rng),
            self._configuration,
            self._fleet,
            self._dispatcher,
            self._pool,
            self._clock,
        )
        self._listener = listener.Listener(self._gateway, config.limits)
        self._watcher = watcher.Watcher(
            self._platform,
            (*store.KINDS, membership.NODE),
            self._seen,
            self._rng,
        )
        addresses = await self._bind()
        self._self_record = view.NodeRecord(
            config.name,
            self._incarnation,
            config.nodes_advertised or addresses.nodes,
            config.region,
            config.zone,
        )
        for work in (
            self._watcher.run(),
            self._register(),
            self._announce(),
            self._expire(),
        ):
            self._tasks.append(asyncio.create_task(work))
        return addresses

    async def stop(self) -> None:
        """Leaves as planned: work in flight ends before the process does."""
        self._stopping = True
        limit = self._settings.limits.stop_seconds
        await membership.unregister(self._platform, self._self_record)
        try:
            async with asyncio.timeout(limit):
                await self._listener.drained()
        except TimeoutError:
            log.warning("stopped with %d in flight", self._listener.in_flight)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self._link_server.stop()
        self._pool.close()
        await self._dispatcher.close()
        await self._session.close()

    async def run(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> links.AnswerResult:
        """Runs a forwarded request, if it is meant for this start."""
        if home_incarnation != self._incarnation:
            return links.expression.Error(
                exchange.not_run(
                    exchange.Reason.STALE_HOME, "an earlier start was meant"
                )
            )
        return await self._dispatcher.run(target, head, body)

    def announced(self, announce: Any) -> None:
        """Takes all targets of another home."""
        targets = [codec.target_in(item) for item in announce.targets]
        taken = self._fleet.put_home(
            announce.home,
            announce.home_incarnation,
            announce.sequence,
            targets,
        )
        if taken:
            heard = [item.id for item in targets]
            fields = logs.fields(home=announce.home, targets=heard)
            log.debug("home heard", extra=fields)

    async def _bind(self) -> Addresses:
        config = self._settings
        callers = await self._serve(
            web.ServerRunner(self._listener.server()),
            config.callers,
            tls.server_context(config.callers_tls),
        )
        target_api = api.TargetApi(
            self._targets, self._default_slots, self._targets_changed
        )
        targets = await self._serve(
            web.AppRunner(target_api.application()), config.targets
        )
        sources = http.Sources(self._not_ready, self._status)
        operators = await self._serve(
            web.AppRunner(http.OperatorApi(sources).application()),
            config.operators,
        )
        host, port = _split(config.nodes)
        nodes = await self._link_server.start(
            host, port, tls.server_context(config.nodes_tls)
        )
        return Addresses(callers, targets, nodes, operators)

    async def _serve(
        self,
        runner: web.BaseRunner,
        address: str,
        context: Any = None,
    ) -> str:
        await runner.setup()
        self._runners.append(runner)
        host, port = _split(address)
        site = web.TCPSite(runner, host, port, ssl_context=context)
        await site.start()
        return f"{host}:{runner.addresses[0][1]}"

    def _default_slots(self, service: str) -> int:
        found = self._configuration.service(service) or objects.Service()
        return found.slots

    def _targets_changed(self) -> None:
        self._announce_now.set()
        self._put_own()
        held = [item.id for item in self._targets.announced()]
        log.info("targets held", extra=logs.fields(targets=held))

    def _put_own(self) -> None:
        self._fleet.put_home(
            self._settings.name,
            self._incarnation,
            self._targets.sequence,
            self._targets.announced(),
        )

    def _seen(self, stored: messages.StoredObject) -> None:
        if stored.kind == membership.NODE:
            self._seen_node(stored)
            return
        result = self._configuration.apply(
            stored.kind, stored.name, stored.version, stored.value
        )
        if result.is_error():
            log.error("object refused: %s", result.error)
        elif result.ok:
            self._gateway.configure(stored.kind, stored.name)
            fields = logs.fields(
                kind=stored.kind, object=stored.name, version=stored.version
            )
            log.info("in force", extra=fields)

    def _seen_node(self, stored: messages.StoredObject) -> None:
        record = membership.record_of(stored)
        if record is None:
            self._fleet.remove_node(stored.name)
        elif self._fleet.put_node(record):
            self._announce_now.set()

    async def _register(self) -> None:
        while True:
            written = await membership.register(
                self._platform, self._self_record
            )
            if written.is_ok():
                return
            log.warning("can't register: %s", written.error)
            await asyncio.sleep(self._rng.uniform(0.5, 1.5))

    async def _announce(self) -> None:
        while True:
            self._announce_now.clear()
            await asyncio.gather(
                *(
                    self._pool.send(peer.address, self._announcement())
                    for peer in list(self._fleet.nodes.values())
                    if peer.name != self._settings.name
                )
            )
            try:
                async with asyncio.timeout(ANNOUNCE_PERIOD.total_seconds()):
                    await self._announce_now.wait()
            except TimeoutError:
                continue

    def _announcement(self) -> Any:
        announce = codec.messages.Announce(
            home=self._settings.name,
            home_incarnation=self._incarnation,
            sequence=self._targets.sequence,
            targets=[
                codec.target_out(item) for item in self._targets.announced()
            ],
        )
        return codec.messages.Frame(announce=announce)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD.total_seconds())
            gone = self._targets.expire()
            if gone:
                log.warning("leases ended", extra=logs.fields(targets=gone))
                self._targets_changed()

    def _not_ready(self) -> str | None:
        if self._stopping:
            return "stopping"
        if not self._watcher.listed.is_set():
            return "no configuration yet"
        return None

    def _status(self) -> dict[str, object]:
        return {
            "node": self._settings.name,
            "incarnation": self._incarnation,
            "version": self._configuration.version,
            "nodes": sorted(self._fleet.nodes),
            "targets": [
                dataclasses.asdict(item) for item in self._fleet.all_targets()
            ],
            "in_flight": self._listener.in_flight,
        }


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
