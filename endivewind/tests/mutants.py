"""Mutation testing: seeds faults that the tests must catch.

Each mutant removes one safeguard from a copy of the code and runs the tests
that guard it. `make mutants` runs all of them; with --soak the randomized soak
test must find some of them instead.
"""

import dataclasses
import enum
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_TIMEOUT_SECONDS = 120


class _Result(enum.Enum):
    """What the tests of a mutant showed."""

    CAUGHT = "caught"
    SURVIVED = "SURVIVED"
    TIMED_OUT = "TIMED OUT"


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A change to the code that removes one safeguard.

    Attributes:
      name: description of the seeded fault.
      file: path of the changed module, below the package.
      old: source text of the safeguard; it occurs exactly once.
      new: source text that replaces it.
      tests: test module that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    tests: str


_AT_MOST_ONCE = "proofs.at_most_once_tests"
_TRUNCATION = "proofs.truncation_tests"
_ATTEMPT_LOG = "targets.attempt_log_tests"
_FUZZ = "proofs.at_most_once_fuzz_tests"
_LINKS = "nodes.links_tests"
_DISPATCH = "targets.dispatch_tests"
_TICKETS = "callers.tickets_tests"
_HEARTBEATS = "platform.heartbeats_tests"
_PIPELINING = "callers.pipelining_tests"
_DEPARTURES = "proofs.departures_fuzz_tests"

MUTANTS = (
    Mutant(
        "a revoked key is still accepted",
        "callers/workspaces.py",
        "            previous.keys.keys() - current.keys.keys(),\n",
        "            set(),\n",
        "callers.workspaces_tests",
    ),
    Mutant(
        "a caller's key is forwarded to the target",
        "callers/listener.py",
        "                drop_key=call.has_checked_key,\n",
        "                drop_key=False,\n",
        "callers.workspaces_tests",
    ),
    Mutant(
        "requests with keys are served while the configuration may be outdated",
        "callers/authorization.py",
        "    if status.is_fresh():\n",
        "    if True:\n",
        "callers.workspaces_tests",
    ),
    Mutant(
        "the age of another node's freshness proof is ignored",
        "config/freshness.py",
        "        return self.record_proof(response.version, query_time - age)\n",
        "        return self.record_proof(response.version, query_time)\n",
        "config.freshness_tests",
    ),
    Mutant(
        "a freshness proof is accepted for a version not in force here",
        "config/freshness.py",
        "        if version > self._in_force():\n",
        "        if False:\n",
        "config.freshness_tests",
    ),
    Mutant(
        "a zone exceeds its token bucket by borrowing",
        "decisions/quotas.py",
        "        self._tokens = min(\n"
        "            self._tokens + max(0.0, gained), self._limits.capacity\n"
        "        )\n",
        "        self._tokens += gained\n",
        "decisions.quotas_tests",
    ),
    Mutant(
        "pending requests do not change the suspicion of their target",
        "targets/registry.py",
        "        return math.prod(\n"
        "            request.likelihood_ratio(now) for request in self.pending_requests\n"
        "        )\n",
        "        return 1.0\n",
        "loads.silence_tests",
    ),
    Mutant(
        "a pipelined non-idempotent request starts before its turn",
        "callers/listener.py",
        "        if not routed_request.is_idempotent(route, request.method):\n"
        "            return None\n",
        "",
        "callers.pipelining_tests",
    ),
    Mutant(
        "a stopping node closes a connection that has other active requests",
        "callers/listener.py",
        "        if is_stopping and not _connection(call.request).has_early_requests:\n",
        "        if is_stopping:\n",
        "callers.pipelining_tests",
    ),
    Mutant(
        "a request at a target is reported as not run when the node stops",
        "callers/routed_request.py",
        "        if self.has_cancelled_attempt:\n",
        "        if False:\n",
        "callers.gateway_tests",
    ),
    Mutant(
        "a departure that arrives before any announcement is ignored",
        "targets/registry.py",
        "        self._remember_departure(target, incarnation or known)\n",
        "        if item is not None:\n"
        "            self._remember_departure(target, incarnation or known)\n",
        "targets.registry_tests",
    ),
    Mutant(
        "a stopping home takes orders that may outlast it",
        "targets/dispatch.py",
        "+ work_time > self._ends_at",
        "> self._ends_at",
        "loads.stopping_homes_tests",
    ),
    Mutant(
        "a stopping entry node sends requests that may outlast it",
        "callers/gateway.py",
        "OUTLASTING_FACTOR * longest",
        "datetime.timedelta()",
        "callers.gateway_stopping_tests",
    ),
    Mutant(
        "a response may have a status below 100",
        "http_responses.py",
        "([1-5][0-9][0-9])",
        "([0-5][0-9][0-9])",
        "targets.broken_responses_tests",
    ),
    Mutant(
        "the heads of interim responses are not counted",
        "http_responses.py",
        "self._head_bytes += end - checked_bytes",
        "self._head_bytes = 0",
        "targets.broken_responses_tests",
    ),
    Mutant(
        "an entry that can't be parsed makes its page unreadable",
        "platform/wire.py",
        "return rest.model_copy(update={name: _readable(texts, decode)})",
        "raise error",
        "platform.wire_tests",
    ),
    Mutant(
        "a redirect of the store is followed",
        "platform/client.py",
        "allow_redirects=False",
        "allow_redirects=True",
        "platform.client_tests",
    ),
    Mutant(
        "a starting node waits for peers that confirm again and again",
        "nodes/configuration.py",
        "self._replicator.last_new_agreement_at",
        "self._replicator.last_agreement_at",
        "nodes.configuration_tests",
    ),
    Mutant(
        "a stopping home takes retries that may outlast it",
        "targets/dispatch.py",
        "bool(head.ticket) or head.may_be_duplicate\n",
        "bool(head.ticket)\n",
        "targets.dispatch_tests",
    ),
    Mutant(
        "a call that is made for a repeat counts as a first attempt",
        "nodes/links.py",
        "round(100 * head.call.repeat_probability)",
        "None",
        "nodes.links_tests",
    ),
    Mutant(
        "a call that is made for a repeat reserves nothing for its own calls",
        "exchange.py",
        "self.call.repeat_probability if self.call is not None else 0.0",
        "0.0",
        "callers.call_reservations_tests",
    ),
    Mutant(
        "a call for a request that was given up makes its route an entry route",
        "callers/entry_routes.py",
        "if not self.may_target_call:",
        "if not self.is_target_active:",
        "callers.entry_routes_tests",
    ),
    Mutant(
        "a target is taken for idle once its request was given up",
        "targets/dispatch.py",
        "if request.was_abandoned:",
        "if False:",
        "targets.dispatch_tests",
    ),
    Mutant(
        "a response before the news of a suspect request clears nothing",
        "decisions/poison_requests.py",
        "            self._observer(record)\n",
        "            pass\n",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "a call ends at the deadline of another request",
        "callers/target_calls.py",
        "            call=call,\n        )\n",
        "            call=call,\n"
        "            remaining_time=datetime.timedelta(milliseconds=1),\n"
        "        )\n",
        "callers.target_calls_tests",
    ),
    Mutant(
        "an attempt is recorded after its hand-over instead of before",
        "targets/dispatch.py",
        "        if refusal is not None:\n"
        "            return expression.Error(refusal)\n"
        "        result = await run()\n",
        "        del self._attempt_log._attempts[head.ticket]\n"
        "        result = await run()\n"
        "        self._attempt_log.begin(\n"
        "            head.ticket, head.attempt, self._clock.monotonic()\n"
        "        )\n",
        _FUZZ,
    ),
    Mutant(
        "a request is retried without a sealed not-run outcome",
        "exchange.py",
        "        return self.outcome is ExecutionOutcome.NOT_RUN\n",
        "        return self.outcome is not ExecutionOutcome.RAN\n",
        _FUZZ,
    ),
    Mutant(
        "a late duplicate of a sealed attempt is accepted",
        "targets/attempt_log.py",
        "    if number > known.number and known.was_not_run:\n",
        "    if number >= known.number and known.was_not_run:\n",
        _ATTEMPT_LOG,
    ),
    Mutant(
        "the issuer's incarnation is not checked",
        "callers/tickets.py",
        "        if (ticket.node, ticket.incarnation) != "
        "(self._node, self._incarnation):\n            return False\n",
        "",
        _TICKETS,
    ),
    Mutant(
        "a target gets more requests than the limit that it names",
        "targets/dispatch.py",
        "            rate_limit.set_rate(named.ok, self._clock.monotonic())\n",
        "            pass\n",
        _DISPATCH,
    ),
    Mutant(
        "requests that queue for a slot are sent in spite of the rate limit",
        "targets/dispatch.py",
        "        if refusal is None and not item.rate_limit.take(\n",
        "        if refusal is None and False and not item.rate_limit.take(\n",
        _DISPATCH,
    ),
    Mutant(
        "peers that are slow now and then excuse a target that fails",
        "decisions/baseline.py",
        "    return shown is not failed or shared is failed\n",
        "    return True\n",
        "decisions.outlier_detection_tests",
    ),
    Mutant(
        "an announcement brings back a target that is leaving",
        "targets/registry.py",
        "        if known.is_leaving:\n",
        "        if False:\n",
        "targets.registry_tests",
    ),
    Mutant(
        "an entry node forgets that a target is leaving",
        "callers/placement.py",
        "            and not self._has_departed(record)\n",
        "",
        "loads.leaving_tests",
    ),
    Mutant(
        "the home's incarnation is not checked",
        "targets/dispatch.py",
        "        if home_incarnation != self._targets.incarnation:\n",
        "        if home_incarnation > self._targets.incarnation:\n",
        _DISPATCH,
    ),
    Mutant(
        "a silent connection counts as a failure of its target",
        "targets/silent_connections.py",
        "        if now < until:\n            return True\n",
        "        if now < until:\n            return False\n",
        _DISPATCH,
    ),
    Mutant(
        "a link is reused after a partial response",
        "nodes/links.py",
        "            self._link.close()\n",
        "            self._pool._release(self._address, self._link)\n",
        _LINKS,
    ),
    Mutant(
        "an exceeded deadline is reported as not run",
        "targets/dispatch.py",
        "        exchange.unknown_outcome_refusal("
        "exchange.Reason.DEADLINE, detail)\n",
        "        exchange.not_run_refusal(exchange.Reason.DEADLINE, detail)\n",
        _FUZZ,
    ),
    Mutant(
        "a ticket that was reported as not run can still start",
        "callers/ticket_store.py",
        "            self._refused_up_to = now\n",
        "",
        _TICKETS,
    ),
    Mutant(
        "a graceful stop does not wait for running requests",
        "node.py",
        "        await shutdown.run(self._drain_timeout())\n",
        "",
        "proofs.stop_tests",
    ),
    Mutant(
        "the HTTP client resends PUT and DELETE by itself",
        "targets/connections.py",
        "        middlewares=(_prevent_resend,),\n",
        "",
        _AT_MOST_ONCE,
    ),
    Mutant(
        "a request with a ticket is cancelled when its caller disconnects",
        "callers/ticketing.py",
        "                result = await asyncio.shield(execution.result)\n",
        "                result = await execution.result\n",
        _AT_MOST_ONCE,
    ),
    Mutant(
        "a request outside the gateway is not aborted at the stop limit",
        "callers/listener.py",
        "        return await self._aborts.run("
        "serve, lambda: _abort_result(call))\n",
        "        return await serve()\n",
        _PIPELINING,
    ),
    Mutant(
        "an aborted request that was passed on is answered as not run",
        "callers/listener.py",
        "    if not call.is_forwarded:\n",
        "    if True:\n",
        _PIPELINING,
    ),
    Mutant(
        "an aborted attempt at a target is answered as not run",
        "callers/gateway.py",
        "                result is None and not progress.ended_unsent\n",
        "                False\n",
        "callers.gateway_tests",
    ),
    Mutant(
        "a response that breaks off is taken as complete",
        "targets/responses.py",
        "            raise exchange.TruncatedResponseError(detail) from error\n",
        "            raise StopAsyncIteration from error\n",
        _TRUNCATION,
    ),
    Mutant(
        "a truncated response is ended towards the caller as if complete",
        "callers/listener.py",
        "                    call.request.transport.abort()\n",
        "                    await stream.write_eof()\n",
        _TRUNCATION,
    ),
    Mutant(
        "a request body that breaks off is forwarded as complete",
        "targets/dispatch.py",
        "        progress.body_error = error\n        raise\n",
        "        progress.body_error = error\n",
        _TRUNCATION,
    ),
    Mutant(
        "a connection reset is taken as the end of a response",
        "targets/connections.py",
        "        if exc is not None and payload is not None and not "
        "payload.is_eof():\n",
        "        if payload is None and exc is not None:\n",
        "targets.connections_tests",
    ),
    Mutant(
        "a home node accepts a non-idempotent request for a suspected target",
        "targets/dispatch.py",
        "        if head.ticket and report.suspicion > head.max_suspicion:\n",
        "        if head.ticket and report.suspicion > 1:\n",
        _DISPATCH,
    ),
    Mutant(
        "a link is not probed before a non-idempotent request",
        "nodes/links.py",
        "        if not check:\n            return link",
        "        if link or not check:\n            return link",
        _LINKS,
    ),
    Mutant(
        "a late announcement cancels a draining",
        "targets/registry.py",
        "        if _is_outdated(known, announcement):\n",
        "        if announcement.sequence < 0:\n",
        _HEARTBEATS,
    ),
    Mutant(
        "a late announcement restores a target that has left",
        "targets/registry.py",
        "            if announcement.incarnation:\n"
        "                return AnnouncementRefusal.DEPARTED\n",
        "",
        _HEARTBEATS,
    ),
    Mutant(
        "a suspicion of this node that was refuted long ago gets no reply",
        "nodes/gossip.py",
        "        if is_unknown or has_refuted or is_suspected:\n",
        "        if is_unknown or has_refuted:\n",
        "nodes.membership_tests",
    ),
    Mutant(
        "a target is chosen again at a home node that no longer has it",
        "callers/placement.py",
        "        exchange.Reason.STALE_HOME,\n",
        "",
        "callers.placement_tests",
    ),
    Mutant(
        "retries that neighbours have used are not counted",
        "decisions/retry_budget.py",
        "            lendable += limit - _kept(limit) - count.retries\n",
        "            lendable += limit - _kept(limit)\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "a node still uses the retries that it has lent",
        "decisions/retry_budget.py",
        "            self._lent.append(_Loan(lent, until))\n",
        "            pass\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "a retry that is never sent is lost to the budget",
        "decisions/retry_budget.py",
        "        self._budget._outstanding.pop(self, None)\n",
        "        pass\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "a retry that waits for a slot does not count until it is sent",
        "decisions/retry_budget.py",
        "        return self._retries + outstanding + lent\n",
        "        return self._retries + lent\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "a retry counts from when it is forwarded",
        "callers/gateway.py",
        "                retry.record_sent(\n"
        "                    self._clock.monotonic() - _time_at_target(result)\n"
        "                )\n",
        "                retry.record_sent(started)\n",
        "loads.repeat_counts_tests",
    ),
    Mutant(
        "a lent retry that is under way for long counts for nobody",
        "decisions/retry_budget.py",
        "        if now >= self._lent_until + window:\n",
        "        if False:\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "a retried request is sent without retries for its calls",
        "callers/call_reservations.py",
        "                if taken is None:\n",
        "                if False:\n",
        "callers.call_reservations_tests",
    ),
    Mutant(
        "a call does not spend what its request has reserved",
        "callers/target_calls.py",
        "            if request.reserved is not None:\n",
        "            if False:\n",
        "callers.call_reservations_tests",
    ),
    Mutant(
        "calls of an abandoned request count for nobody",
        "targets/target_request.py",
        "                self._reservation.abandon()\n",
        "                pass\n",
        "callers.call_reservations_tests",
    ),
    Mutant(
        "each entry node learns by itself that a request crashes targets",
        "nodes/crash_reports.py",
        "            self._publish(record)\n",
        "            pass\n",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "targets that crash at once block a popular request",
        "nodes/crash_reports.py",
        "            if not began_before:\n",
        "            if True:\n",
        "nodes.crash_reports_tests",
    ),
    Mutant(
        "any number of nodes make a trial of a suspect request at once",
        "decisions/poison_requests.py",
        "            return lease.trial == trial\n",
        "            return True\n",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "a failure of a target clears a suspect request",
        "callers/poison_guard.py",
        "        and result.ok.status < _MIN_FAILURE_STATUS\n",
        "",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "a response clears a suspect request at its entry node only",
        "nodes/crash_reports.py",
        "        self._own_trials.discard(record.fingerprint)\n"
        "        self._learn(record)\n",
        "        self._own_trials.discard(record.fingerprint)\n"
        "        self._suspects.put(record, self._clock.monotonic())\n"
        "        return\n",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "a node that has missed a suspect request is not told",
        "nodes/gossip.py",
        "        sends.extend(self._repair_suspects(address, message))\n",
        "",
        "nodes.gossip_tests",
    ),
    Mutant(
        "a background task that fails is not started again",
        "supervision.py",
        "            await asyncio.sleep(RESTART_DELAY.total_seconds())\n",
        "            return\n",
        "supervision_tests",
    ),
    Mutant(
        "any address of a registered node is contacted",
        "durable/node_directory.py",
        "        ipaddress.ip_address(host)\n",
        "",
        "durable.node_directory_tests",
    ),
    Mutant(
        "a restarted node tells its neighbours of routes of unfinished work",
        "callers/entry_routes.py",
        "        if self._is_provisional:\n",
        "        if False:\n",
        "callers.entry_routes_tests",
    ),
    Mutant(
        "a target that has left counts as idle",
        "targets/registry.py",
        "            for other in (*self._removed, item)\n",
        "            for other in self._removed\n",
        _DISPATCH,
    ),
    Mutant(
        "a node that has just started has its whole budget at once",
        "decisions/retry_budget.py",
        "        if self._limits.uptime >= self._limits.window:\n",
        "        if True:\n",
        "loads.retry_bound_tests",
    ),
    Mutant(
        "nodes that follow each other within a window have a reserve each",
        "decisions/retry_budget.py",
        "        return START_SHARE * self._limit_for(self._requests, age)\n",
        "        return START_SHARE * self._limit_for(self._requests)\n",
        "loads.retry_bound_tests",
    ),
    Mutant(
        "a loan returns while the borrower's retry still counts",
        "decisions/retry_budget.py",
        "            until = now + LOAN_LIFETIME + self._limits.window\n",
        "            until = now + self._limits.window\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "after the loss of half the fleet the other nodes retry twice as much",
        "callers/budgets.py",
        "            reserve = service.retry_reserve / max(1, self._size.peak)\n",
        "            nodes = self._node_count(now, window)\n"
        "            reserve = service.retry_reserve / max(1, nodes)\n",
        "callers.budgets_tests",
    ),
    Mutant(
        "a departure without an incarnation has no effect",
        "targets/registry.py",
        "        known = item.record.target_incarnation "
        "if item else max_incarnation\n",
        "        known = item.record.target_incarnation if item else 0\n",
        "platform.heartbeats_tests",
    ),
    Mutant(
        "peers ignore departures that a home node has acknowledged",
        "nodes/view.py",
        "        return self._departed.get(home, {})\n",
        "        return {}\n",
        "nodes.gossip_tests",
    ),
    Mutant(
        "an older configuration is accepted",
        "config/store.py",
        "        if known and known.stamp >= stamp:\n",
        "        if known and known.stamp == stamp:\n",
        "config.store_tests",
    ),
    Mutant(
        "the retry budget is unlimited",
        "decisions/retry_budget.py",
        "        if own + borrowed < 1 - _ROUNDING:\n",
        "        if not self._limits.share:\n",
        "decisions.retry_budget_tests",
    ),
    Mutant(
        "a late departure removes the object of a later start",
        "platform/client.py",
        "        path = _object_path(kind, name, revision=expected)\n"
        '        return await self._call("DELETE", path, lambda body: None)\n',
        "        path = _object_path(kind, name)\n"
        '        return await self._call("DELETE", path, lambda body: None)\n',
        "durable.node_directory_tests",
    ),
    Mutant(
        "a departure is acknowledged before it is saved",
        "targets/registration.py",
        "        if not await self._save_departures():\n",
        "        if False:\n",
        _DEPARTURES,
    ),
    Mutant(
        "a restarted node forgets the departures that it has saved",
        "durable/node_entry.py",
        "            restore(earlier.saved)\n",
        "",
        _DEPARTURES,
    ),
    Mutant(
        "a stale listing of the node's entry is taken for the present one",
        "durable/node_entry.py",
        "            self._restore(present.saved)\n",
        "            pass\n",
        "durable.node_entry_tests",
    ),
    Mutant(
        "a first announcement is accepted while departures are unknown",
        "targets/registry.py",
        "        if self._knows_departures():\n",
        "        if True:\n",
        "targets.registry_tests",
    ),
    Mutant(
        "the crash of a last attempt is not reported",
        "callers/poison_guard.py",
        "            self._reported[fingerprint] = None\n",
        "            if fingerprint in self._reported:\n"
        "                return None\n"
        "            self._reported[fingerprint] = None\n",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "counts of crashes end with the process",
        "nodes/crash_reports.py",
        "            self._suspects.put(record, now)\n",
        "            pass\n",
        "callers.poison_guard_tests",
    ),
    Mutant(
        "an owner does not learn what others granted in its place",
        "nodes/quotas.py",
        "        bucket.charge(spent, self._clock.monotonic())\n",
        "",
        "loads.quotas_tests",
    ),
    Mutant(
        "each node admits a share of the whole zone for want of an owner",
        "nodes/quotas.py",
        "        return 1 if self._me.name in candidates else len(ordered)\n",
        "        return 1\n",
        "loads.quotas_tests",
    ),
    Mutant(
        "a target's draining is not saved",
        "targets/registry.py",
        "            if target.record.state is records.State.DRAINING:\n",
        "            if False:\n",
        _DEPARTURES,
    ),
    Mutant(
        "a home node does not learn that the caller disconnected",
        "nodes/link_server.py",
        "            self.task.cancel()\n",
        "            pass\n",
        _TRUNCATION,
    ),
)


# Mutants that the soak test must find under --soak; no tests are run then.
SOAK_MUTANTS = (
    "a request is retried without a sealed not-run outcome",
    "a graceful stop does not wait for running requests",
    "an exceeded deadline is reported as not run",
    "an older configuration is accepted",
    "the retry budget is unlimited",
)
_MAX_SEEDS = 10
_SOAK_TIMEOUT_SECONDS = 240


def main() -> int:
    """Runs every mutant, or those whose name contains an argument."""
    wanted = sys.argv[1:]
    if wanted[:1] == ["--soak"]:
        return _run_soak(wanted[1:])
    chosen = [
        mutant
        for mutant in MUTANTS
        if not wanted or any(word in mutant.name for word in wanted)
    ]
    survived = [mutant for mutant in chosen if not _is_caught(mutant)]
    print(f"{len(chosen) - len(survived)} caught, {len(survived)} survived")
    return 1 if survived or not chosen else 0


def _is_caught(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        if not _write_mutated_copy(mutant, root):
            return False
        result = _run_tests(root, f"endivewind.tests.{mutant.tests}")
    print(f"{result.value:<9} {mutant.name}", flush=True)
    return result is _Result.CAUGHT


def _run_soak(wanted: list[str]) -> int:
    """Runs the soak test on each of SOAK_MUTANTS until a seed fails."""
    missed = 0
    for mutant in MUTANTS:
        is_wanted = not wanted or any(word in mutant.name for word in wanted)
        if mutant.name not in SOAK_MUTANTS or not is_wanted:
            continue
        seeds = _seeds_until_failure(mutant)
        missed += seeds is None
        found = f"found after {seeds} seeds" if seeds else "NOT FOUND"
        print(f"{found}: {mutant.name}", flush=True)
    return 1 if missed else 0


def _seeds_until_failure(mutant: Mutant) -> int | None:
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        if not _write_mutated_copy(mutant, root):
            return None
        for seed in range(1, _MAX_SEEDS + 1):
            if _soak_fails(root, seed):
                return seed
    return None


def _soak_fails(root: pathlib.Path, seed: int) -> bool:
    code = "from endivewind.commands import bench; bench.run()"
    ran = subprocess.run(
        [sys.executable, "-c", code, "soak", f"--seeds={seed}-{seed}"],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        capture_output=True,
        text=True,
        timeout=_SOAK_TIMEOUT_SECONDS,
        check=False,
    )
    if ran.returncode == 1 and "red" in ran.stdout:
        print(ran.stdout.strip(), flush=True)
        return True
    return False


def _write_mutated_copy(mutant: Mutant, root: pathlib.Path) -> bool:
    """Writes a mutated copy of the code; returns False if it is stale."""
    shutil.copytree(_ROOT / "endivewind", root / "endivewind")
    file = root / "endivewind" / mutant.file
    text = file.read_text()
    if text.count(mutant.old) != 1:
        print(
            f"STALE    {mutant.name}: its safeguard does not occur exactly once"
        )
        return False
    file.write_text(text.replace(mutant.old, mutant.new))
    return True


def _run_tests(root: pathlib.Path, tests: str) -> _Result:
    """Runs the tests of a mutant.

    A mutant that can't be imported counts as not caught, and so does one whose
    tests take too long: they may hang for a reason of their own.
    """
    environment = {**os.environ, "PYTHONPATH": str(root)}
    try:
        ran = subprocess.run(
            [sys.executable, "-m", "endivewind.tests", tests],
            cwd=root,
            env=environment,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return _Result.TIMED_OUT
    output = ran.stdout + ran.stderr
    broken = "ImportError" in output or "SyntaxError" in output
    is_caught = ran.returncode == 1 and not broken
    return _Result.CAUGHT if is_caught else _Result.SURVIVED


if __name__ == "__main__":
    sys.exit(main())
