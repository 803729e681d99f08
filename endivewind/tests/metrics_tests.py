"""Tests of the scraped metrics, and of the operators' page that lists them."""

import datetime
import pathlib
import re
import unittest

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import metrics
from endivewind.callers import budgets
from endivewind.callers import link_traffic
from endivewind.callers import memory_control
from endivewind.callers import request_metrics
from endivewind.decisions import admission_level
from endivewind.decisions import link_shares
from endivewind.nodes import traffic
from endivewind.platform import client
from endivewind.targets import records

_PAGE = (
    pathlib.Path(__file__).resolve().parents[2] / "docs/user-guide/metrics.md"
)
_ROW = re.compile(r"^\| `([a-z_]+)` \| (\w+) \| ([^|]+) \|", re.MULTILINE)


def _target(health: records.EjectionStatus) -> records.TargetRecord:
    return records.TargetRecord(
        "riders-1",
        "riders",
        "node-a",
        1,
        1,
        "andina",
        "andina-a",
        3,
        1,
        records.State.READY,
        health,
    )


def _memory(clock: clocks.Clock) -> memory_control.MemoryControl:
    memory = memory_control.MemoryControl(1_000_000, clock)
    while isinstance(
        memory.admit("riders", "/a", 0, 65_536), memory_control.Reservation
    ):
        pass
    memory.record_disconnect("riders", "r")
    return memory


def _scrape() -> str:
    clock = clocks.ManualClock()
    requests = request_metrics.RequestMetrics(clock)
    started_at = requests.record_start()
    requests.record_attempt("riders", 1)
    requests.record_attempt("riders", 2)
    requests.record_withheld_retry("riders")
    requests.record_failed_call("venues", "refused")
    requests.record_inherited_call("venues", "only")
    clock.advance(datetime.timedelta(milliseconds=3))
    requests.record_end(
        started_at, "riders", expression.Ok(exchange.Response(200, ()))
    )
    sources = metrics.Sources(
        requests=requests,
        health_changes={("riders", "ejected"): 2},
        targets=lambda: [_target(records.EjectionStatus.EJECTED)],
        rate_limits=lambda: {"riders-1": 2.5},
        work_times=lambda: {"riders-1": 0.25},
        busy_seconds=lambda: {"riders-1": 8.5},
        late_placings=lambda: {"riders": 3},
        leaving_shares=lambda: {"riders": 0.125},
        nodes=lambda: 5,
        idle_links=lambda: 4,
        version=lambda: 17,
        sent_bytes={
            (traffic.Kind.PEER_UPDATES, traffic.Distance.OTHER_REGION): 90
        },
        platform_calls={client.CallLabels("watch", "config"): 6},
        memory=_memory(clock),
        retry_totals={"venues": budgets.RetryTotals(40, 6, 2, 1, 3.5, 4)},
        links=lambda: [
            link_traffic.LinkUsage("andina", "costa", 70, -8, 3, 5, True)
        ],
        granted_bytes=lambda: {link_shares.Pair("andina", "costa"): 60},
        task_failures=lambda: {"gossip": 2},
        invalid_entries=lambda: 7,
        admission_refusals={"riders": 8},
        admission_levels=lambda: [
            admission_level.AdmissionLevel(
                "riders", 1, lowest_priority=-2, share=0.5
            )
        ],
    )
    return metrics.NodeMetrics(sources).render().decode()


class ScrapeTest(unittest.TestCase):
    """The values and names that Prometheus reads from /metrics."""

    def test_values(self):
        lines = _scrape().splitlines()

        for line in (
            'endivewind_requests_total{outcome="answered",reason="",service="riders"} 1.0',
            'endivewind_request_latency_bucket_total{le="0.0025",service="riders"} 0.0',
            'endivewind_request_latency_bucket_total{le="0.005",service="riders"} 1.0',
            'endivewind_request_latency_bucket_total{le="+Inf",service="riders"} 1.0',
            'endivewind_request_latency_sum_seconds_total{service="riders"} 0.003',
            "endivewind_requests_in_flight 0.0",
            'endivewind_tasks_failed_total{task="gossip"} 2.0',
            "endivewind_store_invalid_entries_total 7.0",
            'endivewind_placings_total{service="riders"} 2.0',
            'endivewind_retries_total{service="riders"} 1.0',
            'endivewind_retries_withheld_total{service="riders"} 1.0',
            'endivewind_retries_charged_calls_total{service="venues"} 2.0',
            'endivewind_retries_overdrawn_calls_total{service="venues"} 1.0',
            'endivewind_retries_reserved_calls_total{service="venues"} 3.5',
            'endivewind_retries_refused_reservations_total{service="venues"} 4.0',
            'endivewind_retries_counted_requests_total{service="venues"} 40.0',
            'endivewind_calls_failed_total{cause="refused",service="venues"} 1.0',
            'endivewind_calls_inherited_total{basis="only",service="venues"} 1.0',
            'endivewind_target_health_changes_total{health="ejected",service="riders"} 2.0',
            'endivewind_targets{health="ejected",service="riders",state="ready"} 1.0',
            'endivewind_target_rate_limit{target="riders-1"} 2.5',
            'endivewind_target_work_time_seconds{target="riders-1"} 0.25',
            'endivewind_target_busy_seconds_total{target="riders-1"} 8.5',
            'endivewind_placings_late_total{service="riders"} 3.0',
            'endivewind_placings_leaving_share{service="riders"} 0.125',
            "endivewind_configuration_version 17.0",
            "endivewind_nodes 5.0",
            "endivewind_links_idle 4.0",
            'endivewind_sent_bytes_total{distance="far",kind="news"} 90.0',
            'endivewind_platform_calls_total{kind="config",word="watch"} 6.0',
            'endivewind_memory_bytes{kind="held"} 196608.0',
            'endivewind_memory_bytes{kind="used"} 835584.0',
            'endivewind_memory_bytes{kind="limit"} 1e+06',
            'endivewind_memory_refusals_total{service="riders"} 1.0',
            'endivewind_memory_stalled_callers_total{service="riders"} 1.0',
            'endivewind_link_shares_charged_bytes{from="andina",to="costa"} 70.0',
            'endivewind_link_shares_held_bytes{from="andina",to="costa"} -8.0',
            'endivewind_link_shares_denied_total{from="andina",to="costa"} 3.0',
            'endivewind_link_shares_expired_bytes_total{from="andina",to="costa"} 5.0',
            'endivewind_link_shares_equal_part{from="andina",to="costa"} 1.0',
            'endivewind_link_shares_granted_bytes_total{from="andina",to="costa"} 60.0',
            'endivewind_admission_refused_total{service="riders"} 8.0',
            'endivewind_admission_level{service="riders"} -2.0',
            'endivewind_admission_share{service="riders"} 0.5',
        ):
            self.assertIn(line, lines)

    def test_two_nodes_in_one_process_do_not_mix(self):
        self.assertEqual(_scrape(), _scrape())

    def test_all_instruments_are_scraped_under_their_names(self):
        scraped = re.findall(r"^# TYPE (\S+)", _scrape(), re.MULTILINE)

        self.assertEqual(
            sorted(item.prometheus_name for item in metrics.INSTRUMENTS),
            sorted(scraped),
        )


class PageTest(unittest.TestCase):
    """The operators' page lists every metric with kind and unit."""

    def test_page_and_code_agree(self):
        listed = {
            (name, kind, unit.strip())
            for name, kind, unit in _ROW.findall(_PAGE.read_text())
        }

        self.assertEqual(
            {
                (item.prometheus_name, item.kind.value, item.unit.strip("{}"))
                for item in metrics.INSTRUMENTS
            },
            listed,
        )
