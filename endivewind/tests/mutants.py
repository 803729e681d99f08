"""Seeds faults into a copy of the code; the suite must catch each of them."""

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_TIMEOUT_SECONDS = 120


@dataclasses.dataclass(frozen=True)
class Mutant:
    """One safeguard taken out.

    Attributes:
      name: what is wrong with the mutant.
      file: the module, below the package.
      old: the safeguard, found exactly once.
      new: what stands there in the mutant.
      tests: module of the tests that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    tests: str


_ONCE = "proofs.at_most_once_tests"
_WHOLE = "proofs.whole_answer_tests"
_ATTEMPT_LOG = "targets.attempt_log_tests"
_FUZZ = "proofs.at_most_once_fuzz_tests"
_LINKS = "nodes.links_tests"
_DISPATCH = "targets.dispatch_tests"
_TICKETS = "callers.tickets_tests"
_BEATS = "platform.heartbeats_tests"

MUTANTS = (
    Mutant(
        "a key that was taken away is still known",
        "callers/workspaces.py",
        "            self._workspace_by_digest.pop(digest, None)\n",
        "            pass\n",
        "callers.workspaces_tests",
    ),
    Mutant(
        "a caller's key goes on to its target",
        "callers/listener.py",
        "                drop_key=call.is_keyed,\n",
        "                drop_key=False,\n",
        "callers.workspaces_tests",
    ),
    Mutant(
        "keyed work is served without a proof",
        "callers/authorization.py",
        "    if status.is_proved():\n",
        "    if True:\n",
        "callers.workspaces_tests",
    ),
    Mutant(
        "the age of another node's proof is forgotten",
        "config/freshness.py",
        "        return self.proved(answer.version, asked - age)\n",
        "        return self.proved(answer.version, asked)\n",
        "config.freshness_tests",
    ),
    Mutant(
        "a proof counts for a version that is not in force here",
        "config/freshness.py",
        "        if version > self._in_force():\n",
        "        if False:\n",
        "config.freshness_tests",
    ),
    Mutant(
        "a zone holds more than its share by borrowing",
        "decisions/quotas.py",
        "        self._tokens = min(\n"
        "            self._tokens + max(0.0, gained), self._limits.capacity\n"
        "        )\n",
        "        self._tokens += gained\n",
        "decisions.quotas_tests",
    ),
    Mutant(
        "what is open says nothing of its target",
        "targets/registry.py",
        "        return math.prod("
        "request.silence(now) for request in self.pending)\n",
        "        return 1.0\n",
        "loads.silence_tests",
    ),
    Mutant(
        "a pipelined order is begun before its turn",
        "callers/listener.py",
        "        if not routed.may_repeat(route, request.method):\n"
        "            return None\n",
        "",
        "callers.pipelining_tests",
    ),
    Mutant(
        "an answer closes the connection although targets have others on it",
        "callers/listener.py",
        "        if is_stopping and not _connection(call.request).has_begun:\n",
        "        if is_stopping:\n",
        "callers.pipelining_tests",
    ),
    Mutant(
        "work at a target is called not run when the node ends",
        "callers/routed.py",
        "        if self.is_open:\n",
        "        if False:\n",
        "callers.gateway_tests",
    ),
    Mutant(
        "a leave that comes before any announcement is forgotten",
        "targets/registry.py",
        "        self._remember_departure(target, max(known, incarnation))\n",
        "        if item is not None:\n"
        "            self._remember_departure(target, max(known, incarnation))\n",
        "targets.registry_tests",
    ),
    Mutant(
        "an attempt is recorded after its hand-over",
        "targets/dispatch.py",
        "        if refusal is not None:\n"
        "            return expression.Error(refusal)\n"
        "        result = await self._dispatch(target, head, body)\n",
        "        del self._attempt_log._attempts[head.ticket]\n"
        "        result = await self._dispatch(target, head, body)\n"
        "        self._attempt_log.begin(\n"
        "            head.ticket, head.attempt, self._clock.monotonic()\n"
        "        )\n",
        _FUZZ,
    ),
    Mutant(
        "work is placed again without a sealed not-run",
        "exchange.py",
        "        return self.outcome is Outcome.NOT_RUN\n",
        "        return self.outcome is not Outcome.RAN\n",
        _FUZZ,
    ),
    Mutant(
        "a late copy of a sealed attempt is taken",
        "targets/handover.py",
        "    if number > known.number and known.is_sealed:\n",
        "    if number >= known.number and known.is_sealed:\n",
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
        "the home's incarnation is not checked",
        "targets/dispatch.py",
        "        if home_incarnation != self._targets.incarnation:\n",
        "        if home_incarnation > self._targets.incarnation:\n",
        _DISPATCH,
    ),
    Mutant(
        "a target is blamed for a silent connection",
        "targets/doubts.py",
        "        if now < until:\n            return True\n",
        "        if now < until:\n            return False\n",
        _DISPATCH,
    ),
    Mutant(
        "a link is used again after a part of an answer",
        "nodes/links.py",
        "            self._link.close()\n",
        "            self._pool._release(self._address, self._link)\n",
        _LINKS,
    ),
    Mutant(
        "a deadline that passed is told as not run",
        "targets/dispatch.py",
        "    return expression.Error("
        "exchange.unknown(exchange.Reason.DEADLINE, detail))\n",
        "    return expression.Error("
        "exchange.not_run(exchange.Reason.DEADLINE, detail))\n",
        _FUZZ,
    ),
    Mutant(
        "a ticket that was told not-run starts later",
        "callers/ticket_book.py",
        "            self._refused_until = now\n",
        "",
        _TICKETS,
    ),
    Mutant(
        "the end of a planned stop waits for nothing",
        "node.py",
        "        await shutdown.run(self._drain_timeout())\n",
        "",
        "proofs.stop_tests",
    ),
    Mutant(
        "the HTTP client sends PUT and DELETE again by itself",
        "targets/connections.py",
        "        middlewares=(_prevent_resend,),\n",
        "",
        _ONCE,
    ),
    Mutant(
        "the work is cancelled with its caller",
        "callers/ticketing.py",
        "                result = await asyncio.shield(execution.finished)\n",
        "                result = await execution.finished\n",
        _ONCE,
    ),
    Mutant(
        "an end in the middle passes for the end of an answer",
        "targets/answers.py",
        "            raise exchange.TruncatedAnswerError(detail) from error\n",
        "            raise StopAsyncIteration from error\n",
        _WHOLE,
    ),
    Mutant(
        "a cut answer is ended as if it were whole",
        "callers/listener.py",
        "                    call.request.transport.abort()\n",
        "                    await stream.write_eof()\n",
        _WHOLE,
    ),
    Mutant(
        "a body that breaks off is passed on as whole",
        "targets/dispatch.py",
        "        progress.broken_body = error\n        raise\n",
        "        progress.broken_body = error\n",
        _WHOLE,
    ),
    Mutant(
        "a reset passes for the end of an answer",
        "targets/connections.py",
        "        if exc is not None and payload is not None and not "
        "payload.is_eof():\n",
        "        if payload is None and exc is not None:\n",
        "targets.connections_tests",
    ),
    Mutant(
        "a home takes what must not repeat for a target in doubt",
        "targets/dispatch.py",
        "        if head.ticket and report.suspicion > head.max_suspicion:\n",
        "        if head.ticket and report.suspicion > 1:\n",
        _DISPATCH,
    ),
    Mutant(
        "a link is not asked before what must not repeat",
        "nodes/links.py",
        "        if not check:\n            return link",
        "        if link or not check:\n            return link",
        _LINKS,
    ),
    Mutant(
        "a late announcement undoes a draining",
        "targets/registry.py",
        "        if _is_outdated(known, announcement):\n",
        "        if announcement.sequence < 0:\n",
        _BEATS,
    ),
    Mutant(
        "a target that has left comes back by a late announcement",
        "targets/registry.py",
        "            if announcement.incarnation:\n"
        "                return Refused.LEFT\n",
        "",
        _BEATS,
    ),
    Mutant(
        "a doubt that was refuted long ago gets no answer",
        "nodes/gossip.py",
        "        if is_unknown or has_refuted or is_suspected:\n",
        "        if is_unknown or has_refuted:\n",
        "nodes.membership_tests",
    ),
    Mutant(
        "a target is chosen again at a home that has it no more",
        "callers/placement.py",
        "        exchange.Reason.STALE_HOME,\n",
        "",
        "callers.placement_tests",
    ),
    Mutant(
        "retries that neighbours have used are used again",
        "decisions/retries.py",
        "            left += (1 - KEPT_SHARE) * limit - used\n",
        "            left += (1 - KEPT_SHARE) * limit\n",
        "decisions.retries_tests",
    ),
    Mutant(
        "all use at once what is left of the shared retries",
        "decisions/retries.py",
        "        return self._allowance >= 1\n",
        "        return True\n",
        "callers.budgets_tests",
    ),
    Mutant(
        "with half of the fleet gone the rest may retry twice as much",
        "callers/budgets.py",
        "            reserve = service.retry_reserve / max(1, self._size.most(nodes))\n",
        "            reserve = service.retry_reserve / max(1, nodes)\n",
        "callers.budgets_tests",
    ),
    Mutant(
        "a leave that names no start binds nobody",
        "targets/registry.py",
        "        known = item.record.target_incarnation "
        "if item else max_incarnation\n",
        "        known = item.record.target_incarnation if item else 0\n",
        "platform.heartbeats_tests",
    ),
    Mutant(
        "peers forget the leaves that a home has acknowledged",
        "nodes/view.py",
        "        return self._departed.get(home, {})\n",
        "        return {}\n",
        "nodes.gossip_tests",
    ),
    Mutant(
        "an older configuration is taken",
        "config/store.py",
        "        if known and known.stamp >= stamp:\n",
        "        if known and known.stamp == stamp:\n",
        "config.store_tests",
    ),
    Mutant(
        "the retry budget never ends",
        "decisions/retries.py",
        "            if not self._has_allowance(now):\n",
        "            if not self._limits.share:\n",
        "decisions.retries_tests",
    ),
    Mutant(
        "a late leave removes the object of a later start",
        "platform/client.py",
        "        path = _object_path(kind, name, revision=expected)\n"
        '        return await self._call("DELETE", path, lambda body: None)\n',
        "        path = _object_path(kind, name)\n"
        '        return await self._call("DELETE", path, lambda body: None)\n',
        "durable.membership_tests",
    ),
    Mutant(
        "a home does not hear that the caller left",
        "nodes/link_server.py",
        "            self.task.cancel()\n",
        "            pass\n",
        _WHOLE,
    ),
)


# Mutants that the soak must find; the tests are not run then.
SOAKED = (
    "work is placed again without a sealed not-run",
    "the end of a planned stop waits for nothing",
    "a deadline that passed is told as not run",
    "an older configuration is taken",
    "the retry budget never ends",
)
_MOST_SEEDS = 10
_SOAK_SECONDS = 240


def main() -> int:
    """Runs every mutant, or those whose name holds an argument."""
    wanted = sys.argv[1:]
    if wanted[:1] == ["--soak"]:
        return _soak_all(wanted[1:])
    chosen = [
        mutant
        for mutant in MUTANTS
        if not wanted or any(word in mutant.name for word in wanted)
    ]
    survived = [mutant for mutant in chosen if not _caught(mutant)]
    print(f"{len(chosen) - len(survived)} caught, {len(survived)} survived")
    return 1 if survived or not chosen else 0


def _caught(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        if not _write(mutant, root):
            return False
        caught = _fails(root, f"endivewind.tests.{mutant.tests}")
    print(f"{'caught  ' if caught else 'SURVIVED'} {mutant.name}", flush=True)
    return caught


def _soak_all(wanted: list[str]) -> int:
    """Plays seeds of the soak with each of SOAKED until one is red."""
    lost = 0
    for mutant in MUTANTS:
        named = not wanted or any(word in mutant.name for word in wanted)
        if mutant.name not in SOAKED or not named:
            continue
        seeds = _seeds_until_red(mutant)
        lost += seeds is None
        found = f"found after {seeds} seeds" if seeds else "NOT FOUND"
        print(f"{found}: {mutant.name}", flush=True)
    return 1 if lost else 0


def _seeds_until_red(mutant: Mutant) -> int | None:
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        if not _write(mutant, root):
            return None
        for seed in range(1, _MOST_SEEDS + 1):
            if _is_red(root, seed):
                return seed
    return None


def _is_red(root: pathlib.Path, seed: int) -> bool:
    code = "from endivewind.commands import bench; bench.run()"
    ran = subprocess.run(
        [sys.executable, "-c", code, "soak", f"--seeds={seed}-{seed}"],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        capture_output=True,
        text=True,
        timeout=_SOAK_SECONDS,
        check=False,
    )
    if ran.returncode == 1 and "red" in ran.stdout:
        print(ran.stdout.strip(), flush=True)
        return True
    return False


def _write(mutant: Mutant, root: pathlib.Path) -> bool:
    """Writes a copy of the code with a mutant; False if it is stale."""
    shutil.copytree(_ROOT / "endivewind", root / "endivewind")
    file = root / "endivewind" / mutant.file
    text = file.read_text()
    if text.count(mutant.old) != 1:
        print(f"STALE    {mutant.name}: its safeguard is not found once")
        return False
    file.write_text(text.replace(mutant.old, mutant.new))
    return True


def _fails(root: pathlib.Path, tests: str) -> bool:
    """Whether the tests ran and failed; a mutant that can't start is none."""
    environment = {**os.environ, "PYTHONPATH": str(root)}
    ran = subprocess.run(
        [sys.executable, "-m", "endivewind.tests", tests],
        cwd=root,
        env=environment,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_SECONDS,
        check=False,
    )
    output = ran.stdout + ran.stderr
    broken = "ImportError" in output or "SyntaxError" in output
    return ran.returncode == 1 and not broken


if __name__ == "__main__":
    sys.exit(main())
