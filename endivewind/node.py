"""One endivewind-node: builds the parts of a node and runs them.

A node is the entry for callers and the home of its targets. The command
endivewind-node creates one from its settings.
"""

import asyncio
import collections
import dataclasses
import datetime
import functools
import logging
import random
from typing import Any

import aiohttp
from aiohttp import web

from endivewind import clock as clocks
from endivewind import configuration_reader
from endivewind import exchange
from endivewind import headers
from endivewind import http_connections
from endivewind import http_servers
from endivewind import input_scheduler
from endivewind import logs
from endivewind import periodic
from endivewind import reports
from endivewind import supervision
from endivewind import tls
from endivewind.callers import abort_controller
from endivewind.callers import admission_control
from endivewind.callers import authorization
from endivewind.callers import budgets
from endivewind.callers import call_reservations
from endivewind.callers import caller_requests
from endivewind.callers import entry_routes
from endivewind.callers import gateway
from endivewind.callers import link_traffic
from endivewind.callers import listener
from endivewind.callers import memory_control
from endivewind.callers import placement
from endivewind.callers import quota_client
from endivewind.callers import target_calls
from endivewind.callers import ticket_store
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import freshness
from endivewind.config import objects
from endivewind.config import services
from endivewind.config import settings
from endivewind.config import store
from endivewind.decisions import peer_updates
from endivewind.decisions import poison_requests
from endivewind.durable import audit
from endivewind.durable import audit_recorder
from endivewind.durable import node_directory
from endivewind.durable import node_entry
from endivewind.nodes import admission
from endivewind.nodes import codec
from endivewind.nodes import configuration
from endivewind.nodes import crash_reports
from endivewind.nodes import gossip_service
from endivewind.nodes import graceful_shutdown
from endivewind.nodes import link_server
from endivewind.nodes import link_shares
from endivewind.nodes import links
from endivewind.nodes import proofs
from endivewind.nodes import quotas
from endivewind.nodes import retry_loans
from endivewind.nodes import traffic
from endivewind.nodes import view
from endivewind.operators import operator_api
from endivewind.operators import version_api as operators
from endivewind.platform import client
from endivewind.platform import heartbeats
from endivewind.platform import names
from endivewind.platform import readiness
from endivewind.targets import api
from endivewind.targets import dispatch
from endivewind.targets import outlier_monitor
from endivewind.targets import registration
from endivewind.targets import registry
from endivewind.targets import request_bytes

log = logging.getLogger(__name__)

# Targets, operators and the platform send no long bodies.
INTERNAL_DISCARDED_BYTES = 16_384
# The longest time that an announcement waits until this node has received what
# its peers know of its targets. Targets consider an announcement accepted if
# the response arrives within a second.
PEER_STATE_TIMEOUT = datetime.timedelta(milliseconds=500)
PEER_STATE_POLL_INTERVAL = datetime.timedelta(milliseconds=20)
LEASE_CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
# The part of the platform's grace period that is reserved for closing the
# remaining connections, writing the last records and ending the process.
SHUTDOWN_MARGIN = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses to which a started node is bound."""

    callers: str
    targets: str
    nodes: str
    operators: str


class Node(link_server.LinkHandler):
    """A node: the entry for callers and the home of its targets."""

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
        min_incarnation: int = 0,
    ) -> None:
        self._settings = node_settings
        self._min_incarnation = min_incarnation
        self._clock = clock
        self._rng = rng
        self._configuration = store.ConfigurationStore()
        self._fleet = view.FleetView()
        self._traffic = traffic.TrafficMeter(
            node_settings.region, node_settings.zone, self._fleet
        )
        self._pool = links.LinkPool(
            clock, tls.make_link_context(node_settings.nodes_tls), self._traffic
        )
        self._memory: memory_control.MemoryControl | None = None
        self._link_server = link_server.LinkServer(
            self,
            self._traffic,
            is_memory_bounded=node_settings.overload.memory_bytes > 0,
        )
        self._update_publisher = peer_updates.TargetUpdatePublisher()
        self._supervisor = supervision.TaskSupervisor()
        self._input_scheduler = input_scheduler.InputScheduler.from_memory(
            node_settings.overload.memory_bytes,
            node_settings.limits.client_connections,
        )
        self._http = http_servers.HttpServers(
            self._input_scheduler,
            http_connections.ConnectionLimits(
                node_settings.limits.header_bytes,
                discarded_bytes=INTERNAL_DISCARDED_BYTES,
            ),
        )
        self._services = services.ServiceSettings(self._configuration)
        self._freshness_tracker = freshness.FreshnessTracker(
            lambda: self._configuration.document_version,
            node_settings.freshness_bound,
            is_required=node_settings.revocation.strict,
        )
        self._is_stopping = False
        self._created_at = clock.monotonic()
        self._targets_bound_at = self._created_at
        # Set by start(), which needs the running loop and the platform.
        self._directory: node_directory.Directory
        self._initial_listing: node_directory.ZoneListing | None
        self._incarnation: int
        self._targets: registry.TargetRegistry
        self._outlier_monitor: outlier_monitor.OutlierMonitor
        self._dispatcher: dispatch.Dispatcher
        self._placement: placement.Placement
        self._gateway: gateway.Gateway
        self._target_calls: target_calls.TargetCalls | None
        self._listener: listener.Listener
        self._ticket_handler: ticketing.TicketHandler
        self._platform: client.PlatformClient
        self._session: aiohttp.ClientSession
        self._reader: configuration_reader.ConfigurationReader
        self._reports: reports.Reports
        self._audit_recorder: audit_recorder.AuditRecorder
        self._configuration_service: configuration.ConfigurationService
        self._self_record: view.NodeRecord
        self._entry: node_entry.NodeEntry
        self._gossip: gossip_service.GossipService
        self._proof_service: proofs.ProofService
        self._quota_service: quotas.QuotaService
        self._retry_loans: retry_loans.RetryLoanService
        self._crash_reports: crash_reports.CrashReportService
        self._link_shares: link_shares.LinkShareService | None = None
        self._link_traffic: link_traffic.LinkTraffic | None
        self._admission_control: admission_control.AdmissionControl | None
        self._admission_service: admission.AdmissionService | None = None

    @classmethod
    def from_settings(
        cls,
        node_settings: settings.NodeSettings,
        clock: clocks.Clock,
        rng: random.Random,
        min_incarnation: int = 0,
    ) -> "Node":
        """Builds a node; start() runs it.

        Args:
          node_settings: the node's settings.
          clock: the clock of its VM.
          rng: the source of all randomness.
          min_incarnation: the lowest incarnation that it may have.
        """
        return cls(node_settings, clock, rng, min_incarnation)

    async def start(self) -> Addresses:
        """Joins the fleet, binds every address and starts the tasks.

        An address is bound only after everything that serves it is built, as
        callers and peers reconnect as soon as a node listens again.

        Gossip starts after the link server. Gossip requests the fleet's state
        from a peer, and the peer sends the state within a millisecond over a
        link. If this node does not accept links yet, the state is lost, and
        gossip requests it again only three seconds later; until then callers
        are refused as no target is known.
        """
        self._session = client.make_session()
        self._platform = client.PlatformClient(
            self._settings.platform, self._session
        )
        await self._build_identity()
        self._build_request_path()
        self._build_configuration()
        node_address = await self._bind_links()
        self._build_fleet_services(node_address)
        self._build_reports()
        bound = await self._bind(node_address)
        await self._link_server.serve()
        await self._gossip.start(node_address)
        self._start_tasks()
        return bound

    def _start_tasks(self) -> None:
        """Starts the background tasks, but for those of gossip."""
        for watcher in self._reader.make_watchers():
            self._supervisor.start("watcher", watcher.run)
        for name, work in (
            ("audit records", self._audit_recorder.run),
            ("node entry", self._entry.run),
            ("configuration", self._configuration_service.run),
            ("platform proofs", self._proof_service.run_platform_reads),
            ("peer proofs", self._proof_service.run_peer_queries),
            ("lease checks", self._run_lease_checks),
            ("target checks", self._run_target_checks),
            ("log of totals", self._reports.log_totals),
        ):
            self._supervisor.start(name, work)
        if self._admission_service is not None:
            self._supervisor.start(
                "admission",
                functools.partial(self._run_admission, self._admission_service),
            )

    @property
    def _task_failures(self) -> collections.Counter[str]:
        """How often each background task has failed, by name."""
        return collections.Counter(
            self._supervisor.failure_counts
        ) + collections.Counter(self._gossip.failure_counts)

    async def _build_identity(self) -> None:
        """Determines the incarnation and builds the target registry."""
        node_settings = self._settings
        self._directory = node_directory.Directory(
            self._platform, node_settings.zones
        )
        self._initial_listing = await self._directory.list_zone_at_start(
            node_settings.zone
        )
        registered = node_directory.registered_incarnation(
            self._initial_listing, node_settings.name
        )
        now_us = int(self._clock.now().timestamp() * 1_000_000)
        self._incarnation = max(now_us, registered + 1, self._min_incarnation)
        identity = registry.HomeIdentity(
            node_settings.name,
            self._incarnation,
            node_settings.region,
            node_settings.zone,
        )
        self._targets = registry.TargetRegistry(
            identity,
            self._clock,
            self._fleet.find_target,
            node_settings.overload.measured_capacity,
            lambda: self._entry.is_read,
        )

    def _build_request_path(self) -> None:
        """Builds the request path, from the listener to the dispatcher."""
        node_settings = self._settings
        self._outlier_monitor = outlier_monitor.OutlierMonitor(
            self._targets,
            self._services.profile,
            self._clock,
            self._publish_target_changes,
        )
        self._dispatcher = dispatch.Dispatcher.from_registry(
            self._targets,
            self._clock,
            self._outlier_monitor,
            self._header_names,
            self._publish_target_changes,
        )
        self._bound_memory()
        locality = placement.Locality(
            node_settings.name, node_settings.region, node_settings.zone
        )
        self._link_traffic = self._make_link_traffic(locality)
        self._placement = placement.Placement(
            locality,
            self._fleet,
            self._services.floor,
            self._clock,
            self._rng,
            floor_share_of=self._services.floor_share,
            uses_measured_capacity=node_settings.overload.measured_capacity,
            links=self._link_traffic,
        )
        self._admission_control = (
            admission_control.AdmissionControl(self._clock, self._rng)
            if node_settings.overload.shared_admission
            else None
        )
        aborts = abort_controller.AbortController()
        self._crash_reports = crash_reports.CrashReportService(
            node_settings.name,
            self._fleet,
            self._pool,
            self._clock,
            poison_requests.SuspectRequests(),
            lambda record: self._gossip.publish_suspect(record),
            lambda: self._entry.request_write(),
            self._rng,
        )
        self._gateway = gateway.Gateway(
            node_settings.name,
            self._placement,
            self._configuration,
            self._fleet,
            self._dispatcher,
            self._pool,
            self._clock,
            self._outlier_monitor.record_remote,
            self._rng,
            entry_routes.EntryRoutes(
                self._clock,
                self._dispatcher if node_settings.beside else None,
                is_restart=node_directory.may_have_run_before(
                    self._initial_listing, node_settings.name
                ),
            ),
            quota_client.QuotaClient(
                lambda workspace, count: self._quota_service.request_tokens(
                    workspace, count
                ),
                self._clock,
            ),
            self._admission_control,
            retry_budgets=self._make_retry_budgets(locality),
            aborts=aborts,
            crash_reporter=self._crash_reports,
        )
        max_kept_bytes = node_settings.limits.kept_answer_bytes
        self._ticket_handler = ticketing.TicketHandler(
            tickets.Issuer.for_incarnation(
                node_settings.name, self._incarnation
            ),
            ticket_store.TicketStore(kept_answer_bytes=max_kept_bytes),
            self._gateway,
            self._fleet,
            self._pool,
            self._clock,
            max_kept_bytes,
            aborts,
        )
        self._target_calls = self._make_target_calls()
        if self._target_calls is not None:
            self._dispatcher.reserve_calls(
                call_reservations.CallReserver(
                    self._target_calls, self._gateway.budgets, self._clock
                )
            )
        self._listener = listener.Listener(
            self._gateway,
            self._ticket_handler,
            node_settings.limits,
            authorization.ConfigurationStatus(
                lambda: self._configuration_service.missing(),
                self._is_configuration_fresh,
            ),
            self._caller_conventions(),
            self._memory,
            self._target_calls,
            aborts,
        )

    def _make_retry_budgets(
        self, locality: placement.Locality
    ) -> budgets.RetryBudgets:
        """Builds the retry budgets, and what borrows and lends retries."""
        self._retry_loans = retry_loans.RetryLoanService(
            self._pool,
            lambda service, amount: self._gateway.budgets.lend(service, amount),
        )
        return budgets.RetryBudgets(
            self._configuration,
            self._fleet,
            locality,
            self._clock,
            self._rng,
            self._retry_loans.request,
            started=self._created_at,
            unreachable_count=lambda: self._gossip.unreachable_count,
            zone_count=len(self._settings.zones),
            prioritizes=self._settings.overload.prioritized_retries,
        )

    def _bound_memory(self) -> None:
        """Bounds the memory of requests, if the settings give it."""
        memory_bytes = self._settings.overload.memory_bytes
        if not memory_bytes:
            return
        self._memory = memory_control.MemoryControl.from_memory(
            memory_bytes, self._clock
        )
        self._dispatcher.limit_request_bytes(
            request_bytes.RequestBytesLimit(
                int(request_bytes.TARGET_SHARE * memory_bytes),
                lambda: self._listener.max_body_bytes(),
            )
        )

    def _make_target_calls(self) -> target_calls.TargetCalls | None:
        """Returns the calls of the target on this VM, if there is one."""
        local_target = self._settings.beside
        if local_target is None:
            return None
        return target_calls.TargetCalls(
            self._dispatcher,
            self._gateway.entry_routes,
            self._gateway.metrics,
            self._clock,
            target_host=http_servers.split_host_port(local_target.address)[0],
            inherits_priority=self._settings.overload.inherited_priority,
        )

    def _make_link_traffic(
        self, locality: placement.Locality
    ) -> link_traffic.LinkTraffic | None:
        """Returns what charges the links; None if the settings limit none."""
        limits = self._settings.overload
        if not (limits.region_bytes_per_second or limits.link_bytes_per_second):
            return None
        self._link_shares = link_shares.LinkShareService(
            view.NodeRecord(
                locality.node,
                self._incarnation,
                "",
                locality.region,
                locality.zone,
            ),
            limits.region_bytes_per_second,
            self._fleet,
            self._pool,
            self._clock,
        )
        return link_traffic.LinkTraffic(
            locality,
            self._clock,
            self._link_shares,
            limits.region_bytes_per_second,
            limits.link_bytes_per_second,
        )

    def _is_configuration_fresh(self) -> bool:
        """Returns whether a recent proof shows that the newest is in force."""
        return self._freshness_tracker.is_fresh(self._clock.time_since_boot())

    def _build_configuration(self) -> None:
        """Builds the parts for configuration and for the audit trail."""
        node_settings = self._settings
        self._audit_recorder = audit_recorder.AuditRecorder(
            node_settings.name,
            self._incarnation,
            self._platform,
            self._clock,
            self._rng,
            to_platform=node_settings.audit
            is settings.AuditDestination.PLATFORM,
        )
        self._configuration_service = configuration.ConfigurationService(
            view.NodeRecord(
                node_settings.name,
                self._incarnation,
                "",
                node_settings.region,
                node_settings.zone,
            ),
            self._configuration,
            configuration_reader.configuration_kinds(node_settings.interface),
            self._fleet,
            self._pool,
            self._platform.budget,
            self._apply_configuration,
            self._clock,
            self._rng,
        )
        self._reader = configuration_reader.ConfigurationReader(
            lambda: self._settings,
            self._platform,
            self._configuration_service,
            lambda: self._gossip.has_complete_view,
            self._freshness_tracker,
            self._clock,
            self._rng,
        )

    @property
    def _uses_platform_interface(self) -> bool:
        return self._settings.interface is settings.Interface.PLATFORM

    @property
    def _header_names(self) -> headers.HeaderNames:
        return (
            names.HEADERS
            if self._uses_platform_interface
            else headers.DEFAULT_NAMES
        )

    def _caller_conventions(self) -> caller_requests.CallerConventions:
        local_target = self._settings.beside
        return caller_requests.CallerConventions(
            self._header_names,
            local_target.service if local_target else "",
            self._settings.once is settings.DeduplicationKey.TICKET,
        )

    def _build_fleet_services(self, node_address: str) -> None:
        """Builds this node's record and the parts that depend on gossip.

        Args:
          node_address: the address that is bound for other nodes.
        """
        node_settings = self._settings
        self._self_record = view.NodeRecord(
            node_settings.name,
            self._incarnation,
            node_settings.nodes_advertised or node_address,
            node_settings.region,
            node_settings.zone,
        )
        self._entry = node_entry.NodeEntry(
            self._directory,
            self._self_record,
            self._initial_listing,
            self._collect_saved_state,
            self._restore_saved_state,
            self._rng,
        )
        self._restore_crash_counts_of_zone()
        self._gossip = gossip_service.GossipService(
            node_settings,
            self._self_record,
            gossip_service.ReplicatedState(
                self._fleet,
                self._targets,
                self._crash_reports.suspects,
                self._handle_peer_update,
            ),
            self._pool,
            gossip_service.Bootstrap(
                self._directory,
                self._entry,
                self._initial_listing,
                self._record_join,
            ),
            self._clock,
            self._rng,
            self._traffic,
        )
        self._quota_service = quotas.QuotaService(
            self._self_record,
            len(node_settings.zones),
            self._gateway.workspaces.quota,
            self._fleet,
            self._pool,
            self._clock,
            node_settings.quota_tolerance.tolerance,
        )
        if self._admission_control is not None:
            self._admission_service = admission.AdmissionService(
                self._self_record,
                self._fleet,
                self._admission_control,
                self._gossip.send_update,
                self._clock,
            )
        self._proof_service = proofs.ProofService(
            self._self_record,
            self._freshness_tracker,
            self._fleet,
            self._pool,
            self._reader.read_proof,
            lambda: self._gossip.has_complete_view,
            self._configuration_service.request_newer,
            self._clock,
            self._rng,
        )

    def _collect_saved_state(self) -> node_directory.SavedState:
        return node_directory.SavedState(
            self._targets.departures(), self._crash_reports.saved_counts()
        )

    def _restore_saved_state(self, saved: node_directory.SavedState) -> None:
        for target, incarnation in saved.departures.items():
            self._targets.restore_departure(target, incarnation)
        self._crash_reports.restore(saved.crash_counts)

    def _restore_crash_counts_of_zone(self) -> None:
        """Takes over what the other nodes of the zone have saved."""
        if self._initial_listing is None:
            return
        for name, item in self._initial_listing.registrations.items():
            if name != self._settings.name:
                self._crash_reports.restore(
                    item.saved.crash_counts, is_own=False
                )

    async def handle_query(self, query: Any) -> Any:
        """Handles another node's query; query and response are frames.

        A query that is not for quota, for retries, about a crash, for a trial or
        for a share of a link is a query for a proof of freshness.
        """
        if query.quota_ask is not None:
            return await self._quota_service.handle_query(query.quota_ask)
        if query.retry_loan_ask is not None:
            return self._retry_loans.handle_query(query.retry_loan_ask)
        if query.crash_report is not None or query.trial_ask is not None:
            return self._crash_reports.handle_query(query)
        if query.link_share_ask is not None:
            return await self._handle_link_share_ask(query.link_share_ask)
        return self._proof_service.response_frame()

    async def _handle_link_share_ask(self, ask: Any) -> Any:
        """Returns the response frame to an ask; empty if links aren't shared.

        An ask may arrive while the settings differ between nodes.
        """
        if (
            self._link_shares is None
            or not self._settings.overload.region_bytes_per_second
        ):
            return codec.messages.Frame()
        return await self._link_shares.handle_query(ask)

    def reload(self, node_settings: settings.NodeSettings) -> None:
        """Applies reloadable settings; logs those that need a restart."""
        new_values = node_settings.model_dump()
        old_values = self._settings.model_dump()
        changed = {
            key for key in new_values if new_values[key] != old_values[key]
        }
        applied = {
            key: getattr(node_settings, key)
            for key in changed & settings.RELOADABLE_KEYS
        }
        self._settings = self._settings.model_copy(update=applied)
        self._platform.set_url(self._settings.platform)
        self._listener.set_conventions(self._caller_conventions())
        self._listener.set_limits(self._settings.limits)
        self._freshness_tracker.configure(
            self._settings.freshness_bound,
            is_required=self._settings.revocation.strict,
        )
        logging.getLogger().setLevel(self._settings.log_level.upper())
        fields = logs.fields(
            taken=sorted(applied),
            left_until_restart=sorted(changed - set(applied)),
        )
        log.info("settings reloaded", extra=fields)

    async def wait_until_outranked(self) -> int:
        """Waits until an earlier process of this VM is known to rank higher.

        The fleet ignores this node then; it has to start again with a higher
        incarnation.

        Returns:
          The incarnation of that process.
        """
        return await self._gossip.wait_until_outranked()

    async def stop(self) -> None:
        """Shuts down gracefully: requests in progress finish first."""
        self._is_stopping = True
        log.info("stopping")
        if self._settings.beside is None:
            # The targets move to other homes, which takes some time.
            self._targets.refuse_announcements()
        shutdown = graceful_shutdown.GracefulShutdown(
            self._listener,
            self._dispatcher,
            self._link_server,
            self._ticket_handler,
            datetime.timedelta(seconds=self._settings.limits.notice_seconds),
            self._announce_departure,
        )
        await shutdown.run(self._drain_timeout())
        await self._depart_from_fleet()
        if self._link_traffic is not None:
            await self._link_traffic.close()
        await self._supervisor.stop()
        await self._http.stop()
        await self._link_server.stop()
        self._pool.close()
        await self._dispatcher.close()
        await self._session.close()

    def _announce_departure(self) -> None:
        """Announces that the local target, if any, takes no more requests.

        A local target cannot move to another home, so its requests have to stop
        before the node does. For the same reason, its announcements are still
        accepted. Without a local target, the targets move to other homes, and
        nothing is announced.
        """
        if self._settings.beside is not None:
            self._gossip.announce_leave()

    def _drain_timeout(self) -> datetime.timedelta:
        """Returns how long requests in progress may take during shutdown."""
        limits = self._settings.limits
        timeout = datetime.timedelta(seconds=limits.stop_seconds)
        if not limits.grace_seconds:
            return timeout
        grace = datetime.timedelta(seconds=limits.grace_seconds)
        return min(timeout, max(grace - SHUTDOWN_MARGIN, SHUTDOWN_MARGIN))

    async def _depart_from_fleet(self) -> None:
        """Waits until the targets have moved, then stops gossip.

        The node's object stays in the platform: the next incarnation needs
        it. The objects of nodes that do not return are removed by other nodes
        of their zone.
        """
        if self._settings.beside is None:
            await self._gossip.wait_targets_moved()
        await self._gossip.stop()
        await self._record_departure()

    async def _record_departure(self) -> None:
        """Adds the LEAVE record and writes all records not written yet.

        Waits at most as long as for one call. If records are only logged, there
        is nothing to write.
        """
        self._audit_recorder.record_membership(audit.Action.LEAVE)
        try:
            async with asyncio.timeout(client.CALL_TIMEOUT.total_seconds()):
                await self._audit_recorder.flush()
        except TimeoutError:
            log.warning("last audit records not written: platform timeout")

    async def run_on_target(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> links.ResponseResult:
        """Runs a forwarded request if it is for this incarnation."""
        return await self._dispatcher.run_forwarded(
            target,
            home_incarnation,
            head,
            body,
            functools.partial(self._limit_forwarded, head, body),
        )

    async def _limit_forwarded(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        run: dispatch.Run,
    ) -> links.ResponseResult:
        """Runs a forwarded request if links and memory have room for it."""
        if self._link_traffic is not None:
            run = functools.partial(self._link_traffic.run_forwarded, head, run)
        if self._memory is not None:
            return await self._memory.run_forwarded(head, body, run)
        return await run()

    async def run_as_issuer(
        self,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> links.ResponseResult:
        """Runs a request that carries a ticket which this node issued."""
        request_priority = objects.Priority(priority)
        if self._memory is not None:
            return await self._memory.run_as_issuer(
                head,
                body,
                lambda: self._ticket_handler.execute(
                    head, body, request_priority, incarnation
                ),
            )
        return await self._ticket_handler.execute(
            head, body, request_priority, incarnation
        )

    def handle_gossip(self, frame: Any) -> None:
        """Handles a gossip frame of another node."""
        self._gossip.handle_frame(frame)

    async def _bind_links(self) -> str:
        host, port = http_servers.split_host_port(self._settings.nodes)
        context = tls.make_server_context(self._settings.nodes_tls)
        return await self._link_server.bind(host, port, context)

    def _build_reports(self) -> None:
        """Builds the reports for operators."""
        self._reports = reports.Reports(
            reports.ReportSources(
                self._settings.name,
                self._incarnation,
                self._configuration,
                self._fleet,
                self._targets,
                self._placement,
                self._outlier_monitor,
                self._gateway.metrics,
                self._gateway.budgets.totals,
                lambda: self._listener.in_flight,
                self._pool,
                self._traffic,
                self._platform,
                self._gossip.status,
                self._memory,
                self._link_traffic,
                self._link_shares,
                self._admission_control,
                lambda: self._task_failures,
                lambda: self._directory.invalid_count,
            )
        )

    async def _bind(self, node_address: str) -> Addresses:
        node_settings = self._settings
        callers = await self._http.start_server(
            web.ServerRunner(
                self._listener.make_server(self._input_scheduler),
                shutdown_timeout=graceful_shutdown.FORCED_CLOSE_TIMEOUT.total_seconds(),
            ),
            node_settings.callers,
            tls.make_server_context(node_settings.callers_tls),
        )
        targets = await self._http.start_application(
            self._target_application(), node_settings.targets
        )
        self._targets_bound_at = self._clock.monotonic()
        if node_settings.readiness is not None:
            await self._http.start_application(
                readiness.make_application(self._not_ready_reason),
                node_settings.readiness,
            )
        operators_address = await self._http.start_application(
            self._operator_application(), node_settings.operators
        )
        return Addresses(callers, targets, node_address, operators_address)

    def _target_application(self) -> web.Application:
        target_registration = registration.Registration(
            self._targets,
            self._services.slots,
            self._publish_target_changes,
            self._check_announcement,
            self._entry.save,
        )
        if not self._uses_platform_interface:
            return api.TargetApi(target_registration).application()
        return heartbeats.HeartbeatApi(
            target_registration,
            self._heartbeat_ms,
            self._clock,
            self._wait_for_peer_state,
        ).make_application()

    async def _wait_for_peer_state(self) -> None:
        """Waits for what was known of this node's targets, up to a limit.

        That is what an earlier process has saved, and the peers' state. It
        usually arrives within milliseconds. If all nodes start at once, no
        peer has any state, so the limit keeps the targets' wait short.
        """
        limit = self._targets_bound_at + PEER_STATE_TIMEOUT
        await self._entry.wait_until_read(limit - self._clock.monotonic())
        while self._gossip.not_ready_reason() is not None:
            if self._clock.monotonic() - self._created_at >= PEER_STATE_TIMEOUT:
                return
            await asyncio.sleep(PEER_STATE_POLL_INTERVAL.total_seconds())

    def _heartbeat_ms(self) -> int:
        local_target = self._settings.beside
        return (
            round(1000 * local_target.heartbeat_seconds)
            if local_target
            else 1000
        )

    def _check_announcement(self, announcement: registry.Announcement) -> str:
        """Returns why an announcement can't come from the local target.

        Scenario: another process sends announcements, with a service that does
        not exist or another address. Risk: if accepted, such an announcement
        would replace the target's own record until its next announcement, or
        its requests would go to the wrong process.

        Returns:
          The reason; empty if the announcement is acceptable.
        """
        local_target = self._settings.beside
        if local_target is None:
            return ""
        if announcement.address != f"http://{local_target.address}":
            return "no target of this node has that address"
        is_known = self._services.is_known(announcement.service)
        if not is_known and announcement.service != local_target.service:
            return "no such service"
        return ""

    def _operator_application(self) -> web.Application:
        sources = operator_api.Sources(
            self._not_ready_reason,
            self._reports.status,
            self._reports.render_metrics,
            self._gossip.status,
        )
        application = operator_api.OperatorApi(sources).make_application()
        operators.add_versions_path(
            application,
            self._configuration_service.version_queries,
            operators.FleetOverview(
                tuple(self._settings.zones), self._gossip.departed_nodes
            ),
        )
        return application

    def _publish_target_changes(self) -> None:
        self._gossip.publish_target_changes()
        self._entry.request_write()
        self._audit_recorder.record_targets(
            self._targets.target_records(),
            self._outlier_monitor.ejection_causes,
        )
        target_ids = [item.id for item in self._targets.target_records()]
        log.info("targets held", extra=logs.fields(targets=target_ids))

    def handle_configuration(self, frame: Any) -> None:
        """Handles a peer's frame with configuration or a query for it."""
        self._configuration_service.handle_frame(frame)

    def _apply_configuration(self, key: store.Key) -> None:
        self._gateway.apply_object(key.kind, key.name)

    def _record_join(self) -> None:
        """Adds to the audit trail that this node has joined the fleet."""
        self._audit_recorder.record_membership(audit.Action.JOIN)

    async def _run_lease_checks(self) -> None:
        while True:
            await periodic.sleep(LEASE_CHECK_INTERVAL)
            expired = self._targets.remove_expired()
            if expired:
                log.warning("leases ended", extra=logs.fields(targets=expired))
                self._publish_target_changes()

    async def _run_target_checks(self) -> None:
        while True:
            await periodic.sleep(outlier_monitor.CHECK_INTERVAL)
            self._outlier_monitor.run_periodic_checks()
            self._dispatcher.check_overdue()
            if self._target_calls is not None:
                self._target_calls.sample_running_requests()
            self._publish_updates()

    async def _run_admission(self, service: admission.AdmissionService) -> None:
        while True:
            await asyncio.sleep(admission.TICK_INTERVAL.total_seconds())
            for step in (self._gateway.refuse_overdue, service.tick):
                try:
                    step()
                except Exception:
                    # Levels expire without further reports, and waiting
                    # requests are refused too late, so the task goes on.
                    log.exception("admission control failed")

    def _publish_updates(self) -> None:
        """Sends the zone's other nodes the updates that entry nodes need.

        The update contains the health of this home's targets, which is also
        applied to this node's own placement, the use of retry budgets, and
        the routes by which callers' requests enter the fleet.
        """
        now = self._clock.monotonic()
        snapshots = [
            item.snapshot(now) for item in self._targets.home_targets()
        ]
        target_updates = self._update_publisher.take_due_updates(snapshots, now)
        for target_update in target_updates:
            self._placement.apply_update(target_update)
        retry_usages = self._gateway.budgets.take_due_updates()
        routes = self._gateway.entry_routes.take_due_updates()
        self._gossip.push_update(
            peer_updates.PeerUpdate(target_updates, retry_usages, routes)
        )

    def _handle_peer_update(
        self, sender: str, update: peer_updates.PeerUpdate
    ) -> None:
        """Applies the update of another node of the zone."""
        for target_update in update.target_updates:
            self._placement.apply_update(target_update)
        for retry_usage in update.retry_usages:
            self._gateway.budgets.update_peer(sender, retry_usage)
        for route in update.entry_routes:
            self._gateway.entry_routes.add_route(route, sender)
        if self._admission_service is not None:
            self._admission_service.handle_update(sender, update)

    def _not_ready_reason(self) -> str | None:
        if self._is_stopping:
            return "stopping"
        return (
            self._configuration_service.missing()
            or self._gossip.not_ready_reason()
        )
