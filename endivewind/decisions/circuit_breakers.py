"""Circuit breakers for the connections from an entry node to home nodes.

Placement consults them; their state is local to the entry node. An open
circuit is probed with a single request after some time (half-open).
"""

import dataclasses
import datetime

# A single failure may be due to a stale connection, which a middlebox has
# dropped. The connection pool (`nodes/links.py`) closes its idle connections to
# a home after a failure, so a second failure in a row was on a new connection
# and concerns the network path.
FAILURES_TO_OPEN = 2
INITIAL_OPEN_TIME = datetime.timedelta(seconds=1)
# A partition may last an hour. A probe every 30 s costs one request in
# thousands and detects recovery soon.
MAX_OPEN_TIME = datetime.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class _Circuit:
    failures: int = 0
    open_time: datetime.timedelta = INITIAL_OPEN_TIME
    open_until: datetime.timedelta | None = None


class CircuitBreakers:
    """A circuit breaker for each home node.

    Scenario: a one-way partition or a stale connection between one entry node
    and one home node, which other entry nodes still reach. Risk: each request
    sent there waits for its time-out, and ejecting the target would take
    healthy capacity from all entry nodes. So only this one stops using the
    home node.
    """

    def __init__(self) -> None:
        self._circuits: dict[str, _Circuit] = {}

    def allows(self, home: str, now: datetime.timedelta) -> bool:
        """Whether requests may be placed at the home's targets."""
        circuit = self._circuits.get(home)
        return (
            circuit is None
            or circuit.open_until is None
            or (now >= circuit.open_until)
        )

    def record_start(self, home: str, now: datetime.timedelta) -> None:
        """Records that a request was sent.

        If the request probes an open circuit, the circuit stays open for
        another open time, until the probe succeeds. Otherwise all waiting
        requests would try the home at the same time as soon as its open time
        ends.
        """
        circuit = self._circuits.get(home)
        if circuit and circuit.open_until is not None:
            circuit.open_until = now + circuit.open_time

    def record_success(self, home: str) -> None:
        """Records a response, which closes the circuit."""
        self._circuits.pop(home, None)

    def record_failure(self, home: str, now: datetime.timedelta) -> None:
        """Records an exchange that broke off or timed out."""
        circuit = self._circuits.setdefault(home, _Circuit())
        circuit.failures += 1
        if circuit.failures < FAILURES_TO_OPEN:
            return
        if circuit.open_until is not None:
            circuit.open_time = min(circuit.open_time * 2, MAX_OPEN_TIME)
        circuit.open_until = now + circuit.open_time
