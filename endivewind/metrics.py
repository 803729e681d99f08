"""Metrics of a node: OpenTelemetry instruments, scraped by Prometheus.

All instruments are asynchronous: the SDK reads their values at each scrape,
so that counting costs a request only a dictionary update. The latency
histogram is exported as one counter per bucket, with the bound in the label
`le`.
"""

import collections.abc
import dataclasses
import enum

from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
import prometheus_client

from endivewind.callers import budgets
from endivewind.callers import link_traffic
from endivewind.callers import memory_control
from endivewind.callers import request_metrics
from endivewind.decisions import admission_level
from endivewind.decisions import link_shares
from endivewind.nodes import traffic
from endivewind.platform import client
from endivewind.targets import records

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

Observations = collections.abc.Iterable[api.Observation]


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The sources of the values.

    Attributes:
      requests: the request metrics of the listener and the gateway.
      health_changes: numbers of status changes of this home's targets, by
        service and health.
      targets: returns the targets of this home.
      rate_limits: returns the rate limits of this home's targets that set one,
        by id.
      work_times: returns the mean work times of this home's targets, by id.
      busy_seconds: returns how long the slots of this home's targets were in
        use, by id.
      late_placings: numbers of attempts expected to be late, by service.
      leaving_shares: returns the shares of requests that leave the zone, by
        service.
      nodes: returns the number of known nodes, this one included.
      idle_links: returns the number of open links to other nodes that carry
        no request.
      version: returns the highest version of a configuration object in force.
      sent_bytes: bytes sent to other nodes.
      platform_calls: numbers of calls to the platform.
      memory: the memory of requests; None if it is not bounded.
      links: returns what this node has sent over shared links; nothing if links
        are not shared.
      granted_bytes: returns the bytes that this node has granted as an owner.
      retry_totals: what the retry budgets have counted, by service.
      admission_refusals: numbers of requests below an admission level, by
        service.
      admission_levels: returns the admission levels in force.
      task_failures: returns how often each background task has failed, by name.
      invalid_entries: returns how many entries of the store were skipped.
    """

    requests: request_metrics.RequestMetrics
    health_changes: collections.abc.Mapping[tuple[str, str], int]
    targets: collections.abc.Callable[
        [], collections.abc.Iterable[records.TargetRecord]
    ]
    rate_limits: collections.abc.Callable[
        [], collections.abc.Mapping[str, float]
    ]
    work_times: collections.abc.Callable[
        [], collections.abc.Mapping[str, float]
    ]
    busy_seconds: collections.abc.Callable[
        [], collections.abc.Mapping[str, float]
    ]
    late_placings: collections.abc.Callable[
        [], collections.abc.Mapping[str, int]
    ]
    leaving_shares: collections.abc.Callable[
        [], collections.abc.Mapping[str, float]
    ]
    nodes: collections.abc.Callable[[], int]
    idle_links: collections.abc.Callable[[], int]
    version: collections.abc.Callable[[], int]
    sent_bytes: traffic.Counts
    platform_calls: collections.abc.Mapping[client.CallLabels, int]
    memory: memory_control.MemoryControl | None = None
    links: collections.abc.Callable[
        [], collections.abc.Iterable[link_traffic.LinkUsage]
    ] = list
    granted_bytes: collections.abc.Callable[
        [], collections.abc.Mapping[link_shares.Pair, int]
    ] = dict
    retry_totals: collections.abc.Mapping[str, budgets.RetryTotals] = (
        dataclasses.field(default_factory=dict)
    )
    admission_refusals: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    admission_levels: collections.abc.Callable[
        [], collections.abc.Iterable[admission_level.AdmissionLevel]
    ] = tuple
    task_failures: collections.abc.Callable[
        [], collections.abc.Mapping[str, int]
    ] = dict
    invalid_entries: collections.abc.Callable[[], int] = int


class InstrumentKind(enum.Enum):
    """The kind of an instrument."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True, slots=True)
class Instrument:
    """One metric.

    Attributes:
      name: the name in OpenTelemetry.
      kind: counter or gauge.
      unit: the unit of its value in UCUM notation.
      description: a description in one sentence.
      observe: reads the current values.
    """

    name: str
    kind: InstrumentKind
    unit: str
    description: str
    observe: collections.abc.Callable[[Sources], Observations]

    @property
    def prometheus_name(self) -> str:
        """The name under which Prometheus scrapes it."""
        suffix = {"s": "_seconds", "By": "_bytes"}.get(self.unit, "")
        total = "_total" if self.kind is InstrumentKind.COUNTER else ""
        return self.name.replace(".", "_") + suffix + total


def _requests(sources: Sources) -> Observations:
    for outcome, count in sources.requests.outcomes():
        yield api.Observation(count, dataclasses.asdict(outcome))


def _latency_buckets(sources: Sources) -> Observations:
    for service, latencies in sources.requests.latencies.items():
        cumulative = 0
        bounds = (*map(str, request_metrics.LATENCY_BOUNDS_SECONDS), "+Inf")
        for bound, count in zip(bounds, latencies.buckets, strict=True):
            cumulative += count
            yield api.Observation(cumulative, {"service": service, "le": bound})


def _latency_sums(sources: Sources) -> Observations:
    for service, latencies in sources.requests.latencies.items():
        yield api.Observation(latencies.sum_seconds, {"service": service})


def _in_flight(sources: Sources) -> Observations:
    yield api.Observation(sources.requests.in_flight)


def _attempts(sources: Sources) -> Observations:
    for service, count in sources.requests.attempts.items():
        yield api.Observation(count, {"service": service})


def _retries(sources: Sources) -> Observations:
    for service, count in sources.requests.retries.items():
        yield api.Observation(count, {"service": service})


def _retry_total(
    value: collections.abc.Callable[[budgets.RetryTotals], float],
) -> collections.abc.Callable[[Sources], Observations]:
    """Returns what reads one of the totals of all retry budgets."""

    def observe(sources: Sources) -> Observations:
        for service, totals in sources.retry_totals.items():
            yield api.Observation(value(totals), {"service": service})

    return observe


def _withheld_retries(sources: Sources) -> Observations:
    for service, count in sources.requests.withheld_retries.items():
        yield api.Observation(count, {"service": service})


def _failed_calls(sources: Sources) -> Observations:
    for (service, cause), count in sources.requests.failed_calls.items():
        yield api.Observation(count, {"service": service, "cause": cause})


def _inherited_calls(sources: Sources) -> Observations:
    for (service, basis), count in sources.requests.inherited_calls.items():
        yield api.Observation(count, {"service": service, "basis": basis})


def _health_changes(sources: Sources) -> Observations:
    for (service, health), count in sources.health_changes.items():
        yield api.Observation(count, {"service": service, "health": health})


def _targets(sources: Sources) -> Observations:
    counts_by_labels: collections.Counter[tuple[str, str, str]] = (
        collections.Counter()
    )
    for item in sources.targets():
        counts_by_labels[item.service, item.state.value, item.health.value] += 1
    for (service, state, health), count in counts_by_labels.items():
        labels = {"service": service, "state": state, "health": health}
        yield api.Observation(count, labels)


def _rate_limits(sources: Sources) -> Observations:
    for target, limit in sources.rate_limits().items():
        yield api.Observation(limit, {"target": target})


def _work_times(sources: Sources) -> Observations:
    for target, seconds in sources.work_times().items():
        yield api.Observation(seconds, {"target": target})


def _busy_seconds(sources: Sources) -> Observations:
    for target, seconds in sources.busy_seconds().items():
        yield api.Observation(seconds, {"target": target})


def _late_placings(sources: Sources) -> Observations:
    for service, count in sources.late_placings().items():
        yield api.Observation(count, {"service": service})


def _leaving_shares(sources: Sources) -> Observations:
    for service, share in sources.leaving_shares().items():
        yield api.Observation(share, {"service": service})


def _version(sources: Sources) -> Observations:
    yield api.Observation(sources.version())


def _nodes(sources: Sources) -> Observations:
    yield api.Observation(sources.nodes())


def _idle_links(sources: Sources) -> Observations:
    yield api.Observation(sources.idle_links())


def _sent_bytes(sources: Sources) -> Observations:
    for (kind, distance), size in sources.sent_bytes.items():
        labels = {"kind": kind.value, "distance": distance.value}
        yield api.Observation(size, labels)


def _platform_calls(sources: Sources) -> Observations:
    for call, count in sources.platform_calls.items():
        yield api.Observation(count, dataclasses.asdict(call))


def _memory_bytes(sources: Sources) -> Observations:
    if sources.memory is None:
        return
    counted = sources.memory.admission
    for kind, size in (
        ("held", counted.held_bytes),
        ("used", counted.used_bytes),
        ("limit", counted.limit_bytes),
    ):
        yield api.Observation(size, {"kind": kind})


def _memory_refusals(sources: Sources) -> Observations:
    if sources.memory is not None:
        for service, count in sources.memory.refusals.items():
            yield api.Observation(count, {"service": service})


def _stalled_callers(sources: Sources) -> Observations:
    if sources.memory is not None:
        for service, count in sources.memory.disconnects.items():
            yield api.Observation(count, {"service": service})


def _link_labels(usage: link_traffic.LinkUsage) -> dict[str, str]:
    return {"from": usage.from_region, "to": usage.to_region}


def _link_bytes(sources: Sources) -> Observations:
    for usage in sources.links():
        yield api.Observation(usage.spent_bytes, _link_labels(usage))


def _link_held(sources: Sources) -> Observations:
    for usage in sources.links():
        yield api.Observation(usage.held_bytes, _link_labels(usage))


def _link_denied(sources: Sources) -> Observations:
    for usage in sources.links():
        yield api.Observation(usage.denied, _link_labels(usage))


def _link_expired(sources: Sources) -> Observations:
    for usage in sources.links():
        yield api.Observation(usage.expired_bytes, _link_labels(usage))


def _link_equal_part(sources: Sources) -> Observations:
    for usage in sources.links():
        yield api.Observation(int(usage.uses_equal_part), _link_labels(usage))


def _link_granted(sources: Sources) -> Observations:
    for pair, size in sources.granted_bytes().items():
        labels = {"from": pair.sender, "to": pair.receiver}
        yield api.Observation(size, labels)


def _admission_refusals(sources: Sources) -> Observations:
    for service, count in sources.admission_refusals.items():
        yield api.Observation(count, {"service": service})


def _admission_levels(sources: Sources) -> Observations:
    for item in sources.admission_levels():
        yield api.Observation(item.lowest_priority, {"service": item.service})


def _admission_shares(sources: Sources) -> Observations:
    for item in sources.admission_levels():
        yield api.Observation(item.share, {"service": item.service})


def _task_failures(sources: Sources) -> Observations:
    for task, count in sources.task_failures().items():
        yield api.Observation(count, {"task": task})


def _invalid_entries(sources: Sources) -> Observations:
    yield api.Observation(sources.invalid_entries())


INSTRUMENTS = (
    Instrument(
        "endivewind.tasks.failed",
        InstrumentKind.COUNTER,
        "{failure}",
        "Failures of background tasks, which start again after a second.",
        _task_failures,
    ),
    Instrument(
        "endivewind.store.invalid_entries",
        InstrumentKind.COUNTER,
        "{entry}",
        "Entries among the registered nodes that are no nodes'.",
        _invalid_entries,
    ),
    Instrument(
        "endivewind.requests",
        InstrumentKind.COUNTER,
        "{request}",
        "Callers' requests that have ended, by service, outcome and reason.",
        _requests,
    ),
    Instrument(
        "endivewind.request.latency.bucket",
        InstrumentKind.COUNTER,
        "{request}",
        "Requests that took at most `le` seconds, by service.",
        _latency_buckets,
    ),
    Instrument(
        "endivewind.request.latency.sum",
        InstrumentKind.COUNTER,
        "s",
        "Sum of the latencies of all requests, by service.",
        _latency_sums,
    ),
    Instrument(
        "endivewind.requests.in_flight",
        InstrumentKind.GAUGE,
        "{request}",
        "Callers' requests being served now.",
        _in_flight,
    ),
    Instrument(
        "endivewind.placings",
        InstrumentKind.COUNTER,
        "{attempt}",
        "Attempts at a target, by service.",
        _attempts,
    ),
    Instrument(
        "endivewind.retries",
        InstrumentKind.COUNTER,
        "{attempt}",
        "Attempts at a target after a request's first, by service.",
        _retries,
    ),
    Instrument(
        "endivewind.retries.withheld",
        InstrumentKind.COUNTER,
        "{attempt}",
        "Retries that were kept for more urgent requests, by service.",
        _withheld_retries,
    ),
    Instrument(
        "endivewind.retries.charged_calls",
        InstrumentKind.COUNTER,
        "{call}",
        "Calls of the target on this VM charged as retries, by called service.",
        _retry_total(lambda totals: totals.charged_calls),
    ),
    Instrument(
        "endivewind.retries.overdrawn_calls",
        InstrumentKind.COUNTER,
        "{call}",
        "Calls charged as retries beyond this node's limit, by called service.",
        _retry_total(lambda totals: totals.overdrawn_calls),
    ),
    Instrument(
        "endivewind.retries.reserved_calls",
        InstrumentKind.COUNTER,
        "{call}",
        "Calls for which retried requests have reserved retries, by called "
        "service.",
        _retry_total(lambda totals: totals.reserved_calls),
    ),
    Instrument(
        "endivewind.retries.refused_reservations",
        InstrumentKind.COUNTER,
        "{attempt}",
        "Retried requests that were not sent to the target on this VM, as "
        "there were no retries left for their calls, by called service.",
        _retry_total(lambda totals: totals.refused_reservations),
    ),
    Instrument(
        "endivewind.retries.counted_requests",
        InstrumentKind.COUNTER,
        "{request}",
        "Callers' requests that add to the retry budget, by service.",
        _retry_total(lambda totals: totals.requests),
    ),
    Instrument(
        "endivewind.calls.failed",
        InstrumentKind.COUNTER,
        "{call}",
        "Failed calls of the target on this VM, by called service and cause.",
        _failed_calls,
    ),
    Instrument(
        "endivewind.calls.inherited",
        InstrumentKind.COUNTER,
        "{call}",
        "Calls of the target on this VM that inherited the priority of a "
        "request, by called service and what the choice was based on.",
        _inherited_calls,
    ),
    Instrument(
        "endivewind.target.health_changes",
        InstrumentKind.COUNTER,
        "{verdict}",
        "Verdicts on this home's targets, by service and health; ejections "
        "have the health `ejected`.",
        _health_changes,
    ),
    Instrument(
        "endivewind.targets",
        InstrumentKind.GAUGE,
        "{target}",
        "Targets of this home, by service, state and health.",
        _targets,
    ),
    Instrument(
        "endivewind.target.rate_limit",
        InstrumentKind.GAUGE,
        "{request}",
        "Requests per second that a target of this home accepts, by target; "
        "only for targets that set a limit.",
        _rate_limits,
    ),
    Instrument(
        "endivewind.target.work_time",
        InstrumentKind.GAUGE,
        "s",
        "Mean time that a target of this home works on a request, by target; "
        "only with measured capacity.",
        _work_times,
    ),
    Instrument(
        "endivewind.target.busy",
        InstrumentKind.COUNTER,
        "s",
        "Time that the slots of a target of this home were in use, by target; "
        "only with measured capacity.",
        _busy_seconds,
    ),
    Instrument(
        "endivewind.placings.late",
        InstrumentKind.COUNTER,
        "{attempt}",
        "Attempts at a target whose response was expected to be late, by "
        "service; only with measured capacity.",
        _late_placings,
    ),
    Instrument(
        "endivewind.placings.leaving_share",
        InstrumentKind.GAUGE,
        "{share}",
        "Share of requests that leave the zone for its region to balance "
        "the load, by service; only with measured capacity.",
        _leaving_shares,
    ),
    Instrument(
        "endivewind.configuration.version",
        InstrumentKind.GAUGE,
        "{version}",
        "The highest version of a configuration object in force here.",
        _version,
    ),
    Instrument(
        "endivewind.nodes",
        InstrumentKind.GAUGE,
        "{node}",
        "Nodes that this one knows, itself included.",
        _nodes,
    ),
    Instrument(
        "endivewind.links.idle",
        InstrumentKind.GAUGE,
        "{link}",
        "Open links to other nodes that carry no request.",
        _idle_links,
    ),
    Instrument(
        "endivewind.sent",
        InstrumentKind.COUNTER,
        "By",
        "Bytes sent to other nodes, by what they are for and how far they "
        "went.",
        _sent_bytes,
    ),
    Instrument(
        "endivewind.platform.calls",
        InstrumentKind.COUNTER,
        "{call}",
        "Calls to the platform, by what they do and the kind of objects.",
        _platform_calls,
    ),
    Instrument(
        "endivewind.memory",
        InstrumentKind.GAUGE,
        "By",
        "Memory of requests: held, used (with what is expected) and limit.",
        _memory_bytes,
    ),
    Instrument(
        "endivewind.memory.refusals",
        InstrumentKind.COUNTER,
        "{request}",
        "Requests refused because the node's memory was short, by service.",
        _memory_refusals,
    ),
    Instrument(
        "endivewind.memory.stalled_callers",
        InstrumentKind.COUNTER,
        "{caller}",
        "Callers disconnected because they read nothing, by service.",
        _stalled_callers,
    ),
    Instrument(
        "endivewind.link_shares.charged",
        InstrumentKind.GAUGE,
        "By",
        "Bytes of callers' requests and responses charged to a shared link "
        "since the start.",
        _link_bytes,
    ),
    Instrument(
        "endivewind.link_shares.held",
        InstrumentKind.GAUGE,
        "By",
        "Bytes that this node may send over a shared link now.",
        _link_held,
    ),
    Instrument(
        "endivewind.link_shares.denied",
        InstrumentKind.COUNTER,
        "{request}",
        "Requests that had to wait for bytes of a shared link.",
        _link_denied,
    ),
    Instrument(
        "endivewind.link_shares.expired",
        InstrumentKind.COUNTER,
        "By",
        "Bytes of a shared link that were granted to this node and not used.",
        _link_expired,
    ),
    Instrument(
        "endivewind.link_shares.equal_part",
        InstrumentKind.GAUGE,
        "{link}",
        "1 while this node can't reach the owner of a shared link.",
        _link_equal_part,
    ),
    Instrument(
        "endivewind.link_shares.granted",
        InstrumentKind.COUNTER,
        "By",
        "Bytes of a shared link that this node has granted as its owner.",
        _link_granted,
    ),
    Instrument(
        "endivewind.admission.refused",
        InstrumentKind.COUNTER,
        "{request}",
        "Requests refused at this entry because they were below the admission "
        "level, by service.",
        _admission_refusals,
    ),
    Instrument(
        "endivewind.admission.level",
        InstrumentKind.GAUGE,
        "{priority}",
        "Lowest queue priority that is admitted, by service; only while a "
        "level is in force.",
        _admission_levels,
    ),
    Instrument(
        "endivewind.admission.share",
        InstrumentKind.GAUGE,
        "{share}",
        "Admitted share of requests of that priority, by service.",
        _admission_shares,
    ),
)


class NodeMetrics:
    """The metrics of one node, in their own Prometheus registry."""

    def __init__(self, sources: Sources) -> None:
        self._sources = sources
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        provider = sdk.MeterProvider(
            metric_readers=[reader],
            exemplar_filter=sdk.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = provider.get_meter("endivewind")
        for instrument in INSTRUMENTS:
            self._create(meter, instrument)

    def render(self) -> bytes:
        """Renders the metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self._registry)

    def _create(self, meter: api.Meter, instrument: Instrument) -> None:
        def observe(options: api.CallbackOptions) -> Observations:
            del options
            return list(instrument.observe(self._sources))

        create = (
            meter.create_observable_counter
            if instrument.kind is InstrumentKind.COUNTER
            else meter.create_observable_gauge
        )
        create(
            instrument.name,
            [observe],
            instrument.unit,
            instrument.description,
        )
