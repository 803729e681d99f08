"""Simulates the retry budgets of nodes that retry as often as they may.

Virtual time in steps. Every node asks for retries in each step of an outage
until it gets none, so that each retry that its budget allows is made. The
bound on the retries of all nodes is checked in every window, wherever it
begins.
"""

import bisect
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.callers import budgets
from endivewind.config import settings
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.nodes import view

SERVICE = "riders"
STEP = datetime.timedelta(milliseconds=20)
WINDOW = datetime.timedelta(seconds=10)
# Time before the first outage: a window and some steps, for full reserves.
WARM_UP = datetime.timedelta(seconds=12)
DOWN_STEPS = 50
# Steps between two messages of a node, and until a message arrives.
MESSAGE_INTERVAL = 13
MESSAGE_DELAY = 1


@dataclasses.dataclass
class _Message:
    due_step: int
    sender: str
    usage: object


class Node:
    """An entry node with its own view of the fleet."""

    def __init__(self, name, fleet):
        self.name = name
        self.incarnation = 0
        self.steps_down = 0
        self.view = view.FleetView()
        self._fleet = fleet
        self.start()

    @property
    def is_up(self):
        """Whether the node is running."""
        return not self.steps_down

    def start(self):
        """Starts or restarts the node without its counts."""
        self.incarnation += 1
        self.view = view.FleetView()
        self.budgets = self._fleet.make_budgets(self)

    def stop(self):
        """Stops the node, which starts again a second later."""
        self.steps_down = DOWN_STEPS

    def take(self):
        """Takes a retry; returns whether there was one."""
        decision = self.budgets.take(SERVICE, 0, may_borrow=True)
        return decision is budgets.RetryDecision.TAKEN


class Fleet:
    """Nodes of one region that share the retry budget of a service."""

    def __init__(
        self,
        seed,
        nodes=8,
        requests_per_second=2.0,
        retry_share=0.2,
        reserve_per_node=3.0,
        message_loss=0.0,
    ):
        """Starts all nodes and runs them until their reserves are full.

        Args:
          seed: of the random number generator.
          nodes: number of nodes.
          requests_per_second: requests at each node.
          retry_share: retries that the fleet may make for each request.
          reserve_per_node: further retries in each window, for each node.
          message_loss: share of the messages between nodes that are lost.
        """
        self.clock = clocks.ManualClock()
        self._rng = random.Random(seed)
        self._request_share = requests_per_second * STEP.total_seconds()
        self._message_loss = message_loss
        self._limits = settings.FleetLimits(
            retry_share=retry_share,
            retry_reserve=reserve_per_node * nodes,
            retry_window_seconds=WINDOW.total_seconds(),
            floor_share=0.7,
        )
        service = self._limits.apply_to(settings.objects.Service())
        self.configuration = store.ConfigurationStore()
        spec = service.model_dump(mode="json", exclude_defaults=True)
        self.configuration.apply(
            store.SERVICE, SERVICE, 1, {"spec": spec, "operation": "o"}
        )
        self._messages = []
        self._step = 0
        self.nodes = [Node(f"n{number}", self) for number in range(nodes)]
        self._update_views()
        self.request_times = []
        self.retry_times = []
        self.run(WARM_UP)

    def make_budgets(self, node):
        """Returns the retry budgets of a node that starts."""
        return budgets.RetryBudgets(
            self.configuration,
            node.view,
            load_balancing.Locality(node.name, "r", "z"),
            self.clock,
        )

    def run(self, duration, *, is_outage=False, stops=()):
        """Runs the nodes.

        Args:
          duration: how long, in virtual time.
          is_outage: whether all requests fail, so that each node retries as
            often as it may.
          stops: pairs of the time from now at which a node is stopped, and its
            number.
        """
        first = self._step
        stopped = {}
        for at, number in stops:
            stopped.setdefault(first + at // STEP, []).append(number)
        while self._step < first + duration // STEP:
            for number in stopped.get(self._step, ()):
                self.nodes[number].stop()
                self._update_views()
            self._run_step(is_outage)

    def _run_step(self, is_outage):
        self._step += 1
        self.clock.advance(STEP)
        self._restart_nodes()
        self._deliver_messages()
        running = [node for node in self.nodes if node.is_up]
        self._rng.shuffle(running)
        for node in running:
            self._serve(node, is_outage)
        if self._step % MESSAGE_INTERVAL == 0:
            self._send_usages(running)

    def _restart_nodes(self):
        for node in self.nodes:
            if node.steps_down:
                node.steps_down -= 1
                if not node.steps_down:
                    node.start()
                    self._update_views()

    def _update_views(self):
        for node in self.nodes:
            for other in self.nodes:
                if other.is_up:
                    record = view.NodeRecord(
                        other.name, other.incarnation, "", "r", "z"
                    )
                    node.view.put_node(record)
                else:
                    node.view.remove_node(other.name)

    def _serve(self, node, is_outage):
        now = self.clock.monotonic()
        if self._rng.random() < self._request_share:
            node.budgets.record_request(SERVICE, 0, is_from_caller=True)
            self.request_times.append(now)
        while is_outage and node.take():
            self.retry_times.append(now)

    def _send_usages(self, running):
        for node in running:
            for usage in node.budgets.take_due_updates():
                self._messages.append(
                    _Message(self._step + MESSAGE_DELAY, node.name, usage)
                )

    def _deliver_messages(self):
        due = [item for item in self._messages if item.due_step <= self._step]
        self._messages = [
            item for item in self._messages if item.due_step > self._step
        ]
        for item in due:
            for node in self.nodes:
                is_lost = self._rng.random() < self._message_loss
                if node.is_up and node.name != item.sender and not is_lost:
                    node.budgets.update_peer(item.sender, item.usage)

    def max_excess(self):
        """Returns the most retries above the bound in any window.

        The bound follows from the requests in the window, in the one before it
        or in that half a window earlier, whichever has most. It is negative if
        all windows are within the bound.
        """
        return max(
            (
                self._count(self.retry_times, start) - self._bound(start)
                for start in self.retry_times
            ),
            default=-self._limits.retry_reserve,
        )

    def _bound(self, start):
        requests = max(
            self._count(self.request_times, start - offset)
            for offset in (0 * WINDOW, WINDOW / 2, WINDOW)
        )
        return self._limits.retry_share * requests + self._limits.retry_reserve

    def _count(self, times, start):
        """Returns how many of the times are in the window from a time on."""
        first = bisect.bisect_left(times, start)
        return bisect.bisect_right(times, start + WINDOW) - first
