"""One endivewind-node: puts the packages together and runs them."""

import asyncio
import dataclasses
import datetime
import logging
import random
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp import web

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import headers
from endivewind import http_servers
from endivewind import logs
from endivewind import reading
from endivewind import reports
from endivewind import tls
from endivewind.callers import allowances
from endivewind.callers import authorization
from endivewind.callers import calls
from endivewind.callers import gateway
from endivewind.callers import listener
from endivewind.callers import origins
from endivewind.callers import placement
from endivewind.callers import ticket_book
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import freshness
from endivewind.config import objects
from endivewind.config import services
from endivewind.config import settings
from endivewind.config import store
from endivewind.decisions import peer_updates
from endivewind.durable import audit
from endivewind.durable import auditor
from endivewind.durable import membership
from endivewind.nodes import configuration
from endivewind.nodes import leaving
from endivewind.nodes import link_server
from endivewind.nodes import links
from endivewind.nodes import proofs
from endivewind.nodes import quotas
from endivewind.nodes import service
from endivewind.nodes import traffic
from endivewind.nodes import view
from endivewind.operators import configuration as operators
from endivewind.operators import http
from endivewind.platform import client
from endivewind.platform import heartbeats
from endivewind.platform import names
from endivewind.platform import readiness
from endivewind.targets import api
from endivewind.targets import dispatch
from endivewind.targets import judge
from endivewind.targets import registration
from endivewind.targets import registry

if TYPE_CHECKING:
    pass

log = logging.getLogger(__name__)

# An announcement that is answered within a second counts as taken.
SETTLE_LIMIT = datetime.timedelta(milliseconds=500)
SETTLE_LOOK = datetime.timedelta(milliseconds=20)
EXPIRE_PERIOD = datetime.timedelta(milliseconds=200)
TRAFFIC_PERIOD = datetime.timedelta(seconds=10)
# Of the time until the platform ends the process: a second to cut what is
# left, to tell the platform, and to end.
END_MARGIN = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses that a started node has bound."""

    callers: str
    targets: str
    nodes: str
    operators: str


class Node(link_server.Home):
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
        self._configuration = store.ConfigurationStore()
        self._fleet = view.FleetView()
        self._traffic = traffic.Traffic(config.region, config.zone, self._fleet)
        self._pool = links.LinkPool(
            clock, tls.link_context(config.nodes_tls), self._traffic
        )
        self._link_server = link_server.LinkServer(self, self._traffic)
        self._teller = peer_updates.TargetUpdatePublisher()
        self._tasks: list[asyncio.Task[None]] = []
        self._http = http_servers.HttpServers()
        self._services = services.ServiceSettings(self._configuration)
        self._proof = freshness.Freshness(
            lambda: self._configuration.document_version,
            config.revocation.bound,
        )
        self._stopping = False
        self._began = clock.monotonic()
        # Set by start(), which needs the running loop and the platform.
        self._directory: membership.Directory
        self._at_start: membership.ZoneListing | None
        self._incarnation: int
        self._targets: registry.TargetRegistry
        self._judge: judge.Judge
        self._dispatcher: dispatch.Dispatcher
        self._placement: placement.Placement
        self._gateway: gateway.Gateway
        self._listener: listener.Listener
        self._ticketing: ticketing.Ticketing
        self._platform: client.PlatformClient
        self._session: aiohttp.ClientSession
        self._reader: reading.ConfigurationReader
        self._reports: reports.Reports
        self._auditor: auditor.Auditor
        self._configuration_peer: configuration.ConfigurationPeer
        self._self_record: view.NodeRecord
        self._gossip: service.GossipService
        self._proofs: proofs.ProofPeer
        self._quotas: quotas.QuotaPeer

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
        """Joins the fleet, binds every address and starts the tasks.

        Nothing is accepted before all that answers it is built: callers and
        peers come back to a node's addresses the moment it listens again.

        Gossip starts last. It asks a peer for the state of the fleet, which
        comes back within a millisecond and over a link: where none was
        accepted yet it was lost, and the next was asked for three seconds
        later. Until then callers were refused for want of a target.
        """
        self._session = client.session()
        self._platform = client.PlatformClient(
            self._settings.platform, self._session
        )
        await self._build_identity()
        self._build_requests()
        self._build_configuration()
        nodes = await self._bind_links()
        self._build_membership(nodes)
        self._build_reports()
        bound = await self._bind(nodes)
        await self._link_server.serve()
        await self._gossip.start(nodes)
        for work in (
            *(item.run() for item in self._reader.watchers()),
            self._auditor.run(),
            self._configuration_peer.run(),
            self._proofs.run_reading(),
            self._proofs.run_asking(),
            self._expire(),
            self._judge_often(),
            self._reports.log_traffic(),
        ):
            self._tasks.append(asyncio.create_task(work))
        return bound

    async def _build_identity(self) -> None:
        """This start's incarnation, and the targets that it is home to."""
        config = self._settings
        self._directory = membership.Directory(self._platform, config.zones)
        self._at_start = await self._directory.listed_at_start(config.zone)
        earlier = membership.earlier_incarnation(self._at_start, config.name)
        started = int(self._clock.now().timestamp() * 1_000_000)
        self._incarnation = max(started, earlier + 1)
        identity = registry.HomeIdentity(
            config.name, self._incarnation, config.region, config.zone
        )
        self._targets = registry.TargetRegistry(
            identity, self._clock, self._fleet.find_target
        )

    def _build_requests(self) -> None:
        """What serves requests: from the listener to this home's targets."""
        config = self._settings
        self._judge = judge.Judge(
            self._targets,
            self._services.profile,
            self._clock,
            self._targets_changed,
        )
        self._dispatcher = dispatch.Dispatcher.from_registry(
            self._targets, self._clock, self._judge, self._header_names
        )
        self._placement = placement.Placement(
            placement.Place(config.name, config.region, config.zone),
            self._fleet,
            self._services.floor,
            self._clock,
            self._rng,
            share_of=self._services.floor_share,
        )
        self._gateway = gateway.Gateway(
            config.name,
            self._placement,
            self._configuration,
            self._fleet,
            self._dispatcher,
            self._pool,
            self._clock,
            self._judge.witnessed,
            self._rng,
            origins.Origins(
                self._clock, self._dispatcher if config.beside else None
            ),
            allowances.Allowances(
                lambda workspace, count: self._quotas.grant(workspace, count),
                self._clock,
            ),
        )
        kept = config.limits.kept_answer_bytes
        self._ticketing = ticketing.Ticketing(
            tickets.Issuer.for_incarnation(config.name, self._incarnation),
            ticket_book.TicketBook(kept_answer_bytes=kept),
            self._gateway,
            self._fleet,
            self._pool,
            self._clock,
            kept,
        )
        self._listener = listener.Listener(
            self._gateway,
            self._ticketing,
            config.limits,
            authorization.Doubts(
                lambda: self._configuration_peer.missing(),
                self._is_proved,
            ),
            self._dialect(),
        )

    def _is_proved(self) -> bool:
        """Whether the configuration in force was the newest lately."""
        return self._proof.is_proved(self._clock.boot_time())

    def _build_configuration(self) -> None:
        """What keeps configuration in force, and the audit trail."""
        config = self._settings
        self._auditor = auditor.Auditor(
            config.name,
            self._incarnation,
            self._platform,
            self._clock,
            self._rng,
            to_platform=config.audit is settings.Trail.PLATFORM,
        )
        self._configuration_peer = configuration.ConfigurationPeer(
            view.NodeRecord(
                config.name, self._incarnation, "", config.region, config.zone
            ),
            self._configuration,
            reading.kinds_of(config.interface),
            self._fleet,
            self._pool,
            self._platform.budget,
            self._in_force,
            self._clock,
            self._rng,
        )
        self._reader = reading.ConfigurationReader(
            lambda: self._settings,
            self._platform,
            self._configuration_peer,
            lambda: self._gossip.is_settled,
            self._proof,
            self._clock,
            self._rng,
        )

    @property
    def _on_platform(self) -> bool:
        return self._settings.interface is settings.Interface.PLATFORM

    @property
    def _header_names(self) -> headers.HeaderNames:
        return names.HEADERS if self._on_platform else headers.DEFAULT_NAMES

    def _dialect(self) -> calls.Dialect:
        beside = self._settings.beside
        return calls.Dialect(
            self._header_names,
            beside.service if beside else "",
            self._settings.once is settings.Once.TICKET,
        )

    def _build_membership(self, nodes: str) -> None:
        """This node's record and its part in gossip.

        Args:
          nodes: the address bound for other nodes.
        """
        config = self._settings
        self._self_record = view.NodeRecord(
            config.name,
            self._incarnation,
            config.nodes_advertised or nodes,
            config.region,
            config.zone,
        )
        self._gossip = service.GossipService(
            config,
            self._self_record,
            service.State(self._fleet, self._targets, self._hear),
            self._pool,
            service.Entrance(self._directory, self._at_start, self._joined),
            self._clock,
            self._rng,
            self._traffic,
        )
        self._quotas = quotas.QuotaPeer(
            self._self_record,
            len(config.zones),
            self._gateway.workspaces.quota,
            self._fleet,
            self._pool,
            self._clock,
            config.quota_tolerance.tolerance,
        )
        self._proofs = proofs.ProofPeer(
            self._self_record,
            self._proof,
            self._fleet,
            self._pool,
            self._reader.prove,
            lambda: self._gossip.is_settled,
            self._clock,
            self._rng,
        )

    async def answer(self, question: Any) -> Any:
        """The answer to another node's question, both as frames."""
        if question.quota_ask is not None:
            return await self._quotas.answer(question.quota_ask)
        return self._proofs.answer()

    def reload(self, config: settings.NodeSettings) -> None:
        """Takes what can change in a running node; names the rest."""
        given = config.model_dump()
        before = self._settings.model_dump()
        changed = {key for key in given if given[key] != before[key]}
        taken = {
            key: getattr(config, key) for key in changed & settings.RELOADED
        }
        self._settings = self._settings.model_copy(update=taken)
        self._platform.move(self._settings.platform)
        self._listener.speak(self._dialect())
        self._listener.limit(self._settings.limits)
        self._proof.limit(self._settings.revocation.bound)
        logging.getLogger().setLevel(self._settings.log_level.upper())
        fields = logs.fields(
            taken=sorted(taken), left_until_restart=sorted(changed - set(taken))
        )
        log.info("settings reloaded", extra=fields)

    async def stop(self) -> None:
        """Leaves as planned: work in flight ends before the process does."""
        self._stopping = True
        log.info("stopping")
        if self._settings.beside is None:
            # Its targets move to other homes, which takes a while.
            self._targets.stop_taking()
        departure = leaving.Departure(
            self._listener,
            self._dispatcher,
            self._link_server,
            self._ticketing,
            datetime.timedelta(seconds=self._settings.limits.notice_seconds),
            self._turn_away,
        )
        await departure.run(self._stop_limit())
        await self._take_leave()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.stop()
        await self._link_server.stop()
        self._pool.close()
        await self._dispatcher.close()
        await self._session.close()

    def _turn_away(self) -> None:
        """Tells the fleet to send no more work to a target that can't move.

        Its announcements are still answered.
        """
        if self._settings.beside is not None:
            self._gossip.announce_leave()

    def _stop_limit(self) -> datetime.timedelta:
        """How long work in flight may take."""
        limits = self._settings.limits
        seconds = datetime.timedelta(seconds=limits.stop_seconds)
        if not limits.grace_seconds:
            return seconds
        grace = datetime.timedelta(seconds=limits.grace_seconds)
        return min(seconds, max(grace - END_MARGIN, END_MARGIN))

    async def _take_leave(self) -> None:
        """Tells the fleet, and waits until targets have moved.

        The node's object stays in the platform: the next start needs it, and
        that of a node which has gone for good is removed by its zone.
        """
        if self._settings.beside is None:
            await self._gossip.targets_moved()
        await self._gossip.stop()
        if self._settings.audit is settings.Trail.PLATFORM:
            await self._record_leaving()

    async def _record_leaving(self) -> None:
        """Writes the last records, but waits no longer than one call."""
        self._auditor.membership(audit.Action.LEAVE)
        try:
            async with asyncio.timeout(client.CALL_TIMEOUT.total_seconds()):
                await self._auditor.flush()
        except TimeoutError:
            log.warning("the last audit records were not written")

    async def run(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> links.AnswerResult:
        """Runs a forwarded request, if it is meant for this start."""
        return await self._dispatcher.run_forwarded(
            target, home_incarnation, head, body
        )

    async def run_as_issuer(
        self,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> links.AnswerResult:
        """Runs a send of one of this node's tickets."""
        return await self._ticketing.execute(
            head, body, objects.Priority(priority), incarnation
        )

    def gossiped(self, frame: Any) -> None:
        """Takes a frame of another node's gossip."""
        self._gossip.frame(frame)

    async def _bind_links(self) -> str:
        host, port = http_servers.split_host_port(self._settings.nodes)
        context = tls.server_context(self._settings.nodes_tls)
        return await self._link_server.bind(host, port, context)

    def _build_reports(self) -> None:
        """What operators are told."""
        self._reports = reports.Reports(
            reports.Parts(
                self._settings.name,
                self._incarnation,
                self._configuration,
                self._fleet,
                self._targets,
                self._judge,
                self._gateway.counts,
                lambda: self._listener.in_flight,
                self._pool,
                self._traffic,
                self._platform,
                self._gossip.status,
            )
        )

    async def _bind(self, nodes: str) -> Addresses:
        config = self._settings
        callers = await self._http.serve(
            web.ServerRunner(
                self._listener.server(),
                shutdown_timeout=leaving.CUT_AFTER.total_seconds(),
            ),
            config.callers,
            tls.server_context(config.callers_tls),
        )
        targets = await self._http.serve_application(
            self._target_application(), config.targets
        )
        if config.readiness is not None:
            await self._http.serve_application(
                readiness.application(self._not_ready), config.readiness
            )
        operators_address = await self._http.serve_application(
            self._operator_application(), config.operators
        )
        return Addresses(callers, targets, nodes, operators_address)

    def _target_application(self) -> web.Application:
        taken = registration.Registration(
            self._targets,
            self._services.slots,
            self._targets_changed,
            self._not_genuine,
        )
        if not self._on_platform:
            return api.TargetApi(taken).application()
        return heartbeats.HeartbeatApi(
            taken, self._heartbeat_ms, self._clock, self._settle
        ).application()

    async def _settle(self) -> None:
        """Waits until peers have told what they remember of this home.

        They have within milliseconds; where all start at once nobody has
        anything to tell, and targets are not kept waiting for long.
        """
        while self._gossip.not_ready() is not None:
            if self._clock.monotonic() - self._began >= SETTLE_LIMIT:
                return
            await asyncio.sleep(SETTLE_LOOK.total_seconds())

    def _heartbeat_ms(self) -> int:
        beside = self._settings.beside
        return round(1000 * beside.heartbeat_seconds) if beside else 1000

    def _not_genuine(self, announcement: registry.Announcement) -> str:
        """Why an announcement can't be that of the target beside this node.

        Failure: something else sends announcements, with a service that does
        not exist or another address. Symptom: taken, it would replace the
        target's own record until the next one, or lead its work astray.
        """
        beside = self._settings.beside
        if beside is None:
            return ""
        if announcement.address != f"http://{beside.address}":
            return "no target of this node has that address"
        known = self._services.is_known(announcement.service)
        if not known and announcement.service != beside.service:
            return "no such service"
        return ""

    def _operator_application(self) -> web.Application:
        sources = http.Sources(
            self._not_ready,
            self._reports.status,
            self._reports.metrics_page,
            self._gossip.status,
        )
        application = http.OperatorApi(sources).application()
        operators.add_route(
            application,
            self._configuration_peer.asking,
            operators.Members(tuple(self._settings.zones), self._gossip.left),
        )
        return application

    def _targets_changed(self) -> None:
        self._gossip.targets_changed()
        self._auditor.targets(self._targets.announced(), self._judge.causes)
        held = [item.id for item in self._targets.announced()]
        log.info("targets held", extra=logs.fields(targets=held))

    def configuration(self, frame: Any) -> None:
        """Takes what a peer tells of its configuration, or asks."""
        self._configuration_peer.frame(frame)

    def _in_force(self, key: store.Key) -> None:
        self._gateway.configure(key.kind, key.name)

    def _joined(self) -> None:
        """Takes note that this start is registered."""
        self._auditor.membership(audit.Action.JOIN)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD.total_seconds())
            gone = self._targets.expire()
            if gone:
                log.warning("leases ended", extra=logs.fields(targets=gone))
                self._targets_changed()

    async def _judge_often(self) -> None:
        while True:
            await asyncio.sleep(judge.PERIOD.total_seconds())
            self._judge.advance()
            self._dispatcher.look()
            self._tell_zone()

    def _tell_zone(self) -> None:
        """Lets this entry and the others of the zone know of sick targets."""
        now = self._clock.monotonic()
        states = [item.state(now) for item in self._targets.held()]
        conditions = self._teller.due_updates(states, now)
        for condition in conditions:
            self._placement.hear(condition)
        tallies = self._gateway.budgets.due()
        ways = self._gateway.origins.due()
        self._gossip.tell(peer_updates.PeerUpdate(conditions, tallies, ways))

    def _hear(self, sender: str, news: peer_updates.PeerUpdate) -> None:
        """Takes what another node of the zone tells."""
        for condition in news.target_updates:
            self._placement.hear(condition)
        for tally in news.retry_usages:
            self._gateway.budgets.hear(sender, tally)
        for way in news.ingress_routes:
            self._gateway.origins.hear(way)

    def _not_ready(self) -> str | None:
        if self._stopping:
            return "stopping"
        return self._configuration_peer.missing() or self._gossip.not_ready()
