"""A node's reports to its operators: status, metrics and periodic log lines."""

import asyncio
import collections.abc
import dataclasses
import datetime
import importlib
import logging
from typing import TYPE_CHECKING
from typing import Any

from endivewind import logs
from endivewind.callers import admission_control
from endivewind.callers import budgets
from endivewind.callers import link_traffic
from endivewind.callers import memory_control
from endivewind.callers import placement
from endivewind.callers import request_metrics
from endivewind.config import store
from endivewind.nodes import link_shares
from endivewind.nodes import links
from endivewind.nodes import traffic
from endivewind.nodes import view
from endivewind.operators import operator_api
from endivewind.platform import client
from endivewind.targets import outlier_monitor
from endivewind.targets import registry

if TYPE_CHECKING:
    from endivewind import metrics

log = logging.getLogger(__name__)

TOTALS_LOG_INTERVAL = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSources:
    """The parts of a node that its reports read.

    Attributes:
      name: the node's name.
      incarnation: the node's incarnation.
      configuration: the configuration in force.
      fleet: the known nodes and targets.
      targets: the targets of this home.
      placement: the choice of targets for callers' requests.
      outlier_monitor: the outlier detection of these targets.
      requests: the metrics of callers' requests.
      retry_totals: what the retry budgets have counted, by service.
      in_flight: returns the number of callers' requests in progress.
      pool: the links to other nodes.
      traffic: the bytes sent to other nodes.
      platform: the client, for its counts of calls.
      members: returns the numbers of nodes by state, and the state of gossip.
      memory: the memory of requests; None if it is not bounded.
      shared_links: what charges shared links; None if links are not shared.
      share_owner: the shares that this node grants; None if links are not
        shared.
      admission: the admission control of this entry node; None if
        admission is not shared.
      task_failures: returns how often each background task has failed, by name.
      invalid_entries: returns how many entries of the store were skipped.
    """

    name: str
    incarnation: int
    configuration: store.ConfigurationStore
    fleet: view.FleetView
    targets: registry.TargetRegistry
    placement: placement.Placement
    outlier_monitor: outlier_monitor.OutlierMonitor
    requests: request_metrics.RequestMetrics
    retry_totals: collections.abc.Mapping[str, budgets.RetryTotals]
    in_flight: collections.abc.Callable[[], int]
    pool: links.LinkPool
    traffic: traffic.TrafficMeter
    platform: client.PlatformClient
    members: collections.abc.Callable[[], dict[str, object]]
    memory: memory_control.MemoryControl | None = None
    shared_links: link_traffic.LinkTraffic | None = None
    share_owner: link_shares.LinkShareService | None = None
    admission: admission_control.AdmissionControl | None = None
    task_failures: collections.abc.Callable[
        [], collections.abc.Mapping[str, int]
    ] = dict
    invalid_entries: collections.abc.Callable[[], int] = int


class Reports:
    """Renders status and metrics on demand, and logs traffic periodically."""

    def __init__(self, report_sources: ReportSources) -> None:
        self._report_sources = report_sources
        self._metrics: metrics.NodeMetrics | None = None

    def status(self) -> dict[str, object]:
        """Returns the node's status, which can be encoded as JSON."""
        report_sources = self._report_sources
        memory = report_sources.memory
        admission = report_sources.admission
        status: dict[str, object] = {
            **({"admission": admission.status()} if admission else {}),
            "node": report_sources.name,
            "incarnation": report_sources.incarnation,
            "version": report_sources.configuration.version,
            "nodes": sorted(report_sources.fleet.nodes),
            "members": report_sources.members(),
            "targets": [
                {
                    **dataclasses.asdict(item),
                    "reason": report_sources.outlier_monitor.ejection_causes.get(
                        item.id, ""
                    ),
                }
                for item in report_sources.fleet.usable_targets()
            ],
            "in_flight": report_sources.in_flight(),
            **({} if memory is None else {"memory": memory.status()}),
        }
        if report_sources.shared_links is not None:
            status["links"] = self._link_usages()
        return status

    def _link_usages(self) -> list[dict[str, object]]:
        links = self._report_sources.shared_links
        return (
            [dataclasses.asdict(item) for item in links.usages()]
            if links
            else []
        )

    def render_metrics(self) -> operator_api.Page:
        """Renders the metrics and loads their SDK at the first call.

        The SDK takes a fifteenth of a node's memory and of the processor time
        of its start, and many nodes are never scraped.
        """
        module = importlib.import_module("endivewind.metrics")
        if self._metrics is None:
            self._metrics = module.NodeMetrics(self._metric_sources(module))
        return operator_api.Page(self._metrics.render(), module.CONTENT_TYPE)

    async def log_totals(self) -> None:
        """Logs bytes sent, calls made and retries, until cancelled."""
        while True:
            await asyncio.sleep(TOTALS_LOG_INTERVAL.total_seconds())
            sent = self._report_sources.traffic.by_kind()
            log.info("bytes sent", extra=logs.fields(**sent))
            calls = {
                f"{call.word} {call.kind}": count
                for call, count in self._report_sources.platform.call_counts.items()
            }
            log.info("platform calls", extra=logs.fields(**calls))
            retries = {
                service: dataclasses.asdict(totals)
                for service, totals in self._report_sources.retry_totals.items()
            }
            if retries:
                log.info("retry budgets", extra=logs.fields(services=retries))
            if report_links := self._link_usages():
                log.info("link shares", extra=logs.fields(links=report_links))

    def _metric_sources(self, module: Any) -> "metrics.Sources":
        report_sources = self._report_sources
        sources: metrics.Sources = module.Sources(
            requests=report_sources.requests,
            health_changes=report_sources.outlier_monitor.status_change_counts,
            targets=report_sources.targets.target_records,
            rate_limits=report_sources.targets.rate_limits,
            work_times=report_sources.targets.work_times,
            busy_seconds=report_sources.targets.busy_seconds,
            late_placings=lambda: report_sources.placement.late_counts,
            leaving_shares=report_sources.placement.leaving_shares,
            nodes=lambda: len(report_sources.fleet.nodes),
            idle_links=lambda: report_sources.pool.idle_count,
            version=lambda: report_sources.configuration.version,
            sent_bytes=report_sources.traffic.counts,
            platform_calls=report_sources.platform.call_counts,
            memory=report_sources.memory,
            retry_totals=report_sources.retry_totals,
            task_failures=report_sources.task_failures,
            invalid_entries=report_sources.invalid_entries,
            links=report_sources.shared_links.usages
            if report_sources.shared_links
            else list,
            granted_bytes=(
                lambda: (
                    report_sources.share_owner.granted_bytes
                    if report_sources.share_owner
                    else {}
                )
            ),
        )
        if report_sources.admission is not None:
            sources = dataclasses.replace(
                sources,
                admission_refusals=report_sources.admission.refused,
                admission_levels=report_sources.admission.levels,
            )
        return sources
