"""Simulates the retry budgets of nodes that retry as often as they may.

On a virtual loop, in steps. Every node asks for retries in each step of an outage
until it gets none, so that each retry that its budget allows is made. The
bound on the retries of all nodes is checked in every window, wherever it
begins.
"""

import asyncio
import dataclasses
import datetime
import random

from endivewind.callers import budgets
from endivewind.config import settings
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.soak import retry_checks
from endivewind.standins import virtual_loop

SERVICE = "riders"
STEP = datetime.timedelta(milliseconds=20)
WINDOW = datetime.timedelta(seconds=10)
# Time before the first outage: a window and some steps, for full reserves.
WARM_UP = datetime.timedelta(seconds=12)
DOWN_STEPS = 50
# More than any node's budget, so that a budget without a limit shows.
MAX_RETRIES_PER_STEP = 100
# Steps between two messages of a node, and until a message arrives.
MESSAGE_INTERVAL = 13
MESSAGE_DELAY = 1
# Time until a node receives the request for a loan, and until the response.
LINK_SECONDS = 0.002
QUERY_TIMEOUT_SECONDS = 0.25


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
        self._is_replaced = False
        self.start()

    @property
    def is_up(self):
        """Whether the node is running."""
        return not self.steps_down

    def start(self):
        """Starts the node, or another one in its place, without any counts."""
        if self._is_replaced:
            self.name += "-new"
        self.started = self._fleet.clock.monotonic()
        self.incarnation += 1
        self.view = view.FleetView()
        self.budgets = self._fleet.make_budgets(self)

    def stop(self, *, is_replaced):
        """Stops the node, which starts again a second later.

        Args:
          is_replaced: whether a node with another name starts instead.
        """
        self.steps_down = DOWN_STEPS
        self._is_replaced = is_replaced

    async def obtain(self):
        """Takes or borrows a retry; returns whether there was one."""
        result = await self.budgets.obtain(SERVICE, 0, may_borrow=True)
        if result.is_ok():
            result.ok.record_sent(self._fleet.clock.monotonic())
        return result.is_ok()


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
        self._loop = virtual_loop.VirtualLoop()
        self.clock = virtual_loop.LoopClock(self._loop)
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
            self._rng,
            self._request_loan,
            started=node.started,
        )

    async def _request_loan(self, lender, service, amount):
        """Delivers a request for a loan and its response, or loses one."""
        node = next(item for item in self.nodes if item.name == lender.name)
        await asyncio.sleep(LINK_SECONDS)
        if not node.is_up or self._is_lost():
            await asyncio.sleep(QUERY_TIMEOUT_SECONDS)
            return 0.0
        lent = node.budgets.lend(service, amount)
        if self._is_lost():
            await asyncio.sleep(QUERY_TIMEOUT_SECONDS)
            return 0.0
        await asyncio.sleep(LINK_SECONDS)
        return lent

    def _is_lost(self):
        return self._rng.random() < self._message_loss

    def run(self, duration, *, is_outage=False, stops=(), replaces_nodes=False):
        """Runs the nodes.

        Args:
          duration: how long, in virtual time.
          is_outage: whether all requests fail, so that each node retries as
            often as it may.
          stops: pairs of the time from now at which a node is stopped, and its
            number.
          replaces_nodes: whether others start in place of those that stop.
        """
        self._loop.run_until_complete(
            self._run(duration, is_outage, stops, replaces_nodes)
        )

    async def _run(self, duration, is_outage, stops, replaces_nodes):
        first = self._step
        stopped = {}
        for at, number in stops:
            stopped.setdefault(first + at // STEP, []).append(number)
        while self._step < first + duration // STEP:
            for number in stopped.get(self._step, ()):
                self.nodes[number].stop(is_replaced=replaces_nodes)
                self._update_views()
            await self._run_step(is_outage)
        # Rounds of requests for loans that nobody waits for any more.
        pending = asyncio.all_tasks() - {asyncio.current_task()}
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _run_step(self, is_outage):
        self._step += 1
        await asyncio.sleep(STEP.total_seconds())
        self._restart_nodes()
        self._deliver_messages()
        running = [node for node in self.nodes if node.is_up]
        await asyncio.gather(
            *(self._serve(node, is_outage) for node in running)
        )
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

    async def _serve(self, node, is_outage):
        if self._rng.random() < self._request_share:
            node.budgets.record_request(SERVICE, 0, is_from_caller=True)
            self.request_times.append(self.clock.monotonic())
        wanted = MAX_RETRIES_PER_STEP if is_outage else 0
        for _ in range(wanted):
            if not await node.obtain():
                return
            self.retry_times.append(self.clock.monotonic())

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
                if node.name == item.sender or not node.is_up:
                    continue
                if not self._is_lost():
                    node.budgets.update_peer(item.sender, item.usage)

    def max_excess(self):
        """Returns the most retries above the bound in any window.

        The bound follows from the requests in the window, in the one before it
        or in that half a window earlier, whichever has most. It is negative if
        all windows are within the bound.
        """
        return retry_checks.worst_window(
            self.request_times,
            self.retry_times,
            self._limits.retry_share,
            self._limits.retry_reserve,
            WINDOW,
        ).excess
