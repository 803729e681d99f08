"""Analyzes lost requests in the logs of all nodes.

    python benchmarks/losses.py LOG

Each line of LOG has the time of the day in seconds, the node's name, and a JSON
line of the node's log, separated by blanks. Prints the number of requests whose
result was not 200 by kind, by their attempts, and by time. A kind is a service,
with "once" for requests that are not idempotent and "again" for others.
"""

import collections
import dataclasses
import json
import sys

# Long enough for several losses in each interval, short enough to separate one
# incident of a day from the next.
INTERVAL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A logged request.

    Attributes:
      ended_at: time of the day in seconds.
      service: name of the service.
      is_non_idempotent: whether it must not run twice.
      result: the logged result.
      milliseconds: duration.
      attempts: logged fields of each attempt.
    """

    ended_at: float
    service: str
    is_non_idempotent: bool
    result: str
    milliseconds: int
    attempts: list[dict]

    @property
    def is_lost(self) -> bool:
        """Whether the caller got no successful response."""
        return self.result != "200"

    @property
    def kind(self) -> str:
        """The service and whether the request is idempotent."""
        return f"{self.service} {'once' if self.is_non_idempotent else 'again'}"

    @property
    def attempt_results(self) -> str:
        """The result of each attempt, with a ? if the target was suspected."""
        return (
            " > ".join(_format_attempt(item) for item in self.attempts)
            or "no try"
        )


def read_requests(path: str) -> list[Request]:
    """Reads the requests from a log file."""
    requests = []
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            time_text, _, rest = line.strip().partition(" ")
            start = rest.find("{")
            if start < 0 or '"message": "request"' not in rest:
                continue
            try:
                fields = json.loads(rest[start:])
            except json.JSONDecodeError:
                continue
            requests.append(
                Request(
                    float(time_text),
                    fields["service"],
                    fields["once"],
                    fields["result"],
                    fields["milliseconds"],
                    fields["tries"],
                )
            )
    return requests


def _format_attempt(item: dict) -> str:
    mark = "?" if item["suspicion"] >= 0.5 else ""
    return f"{item['result']}{mark}"


def _print_counts(title: str, counts: collections.Counter, limit: int) -> None:
    print(f"\n{title}")
    for key, count in counts.most_common(limit):
        print(f"{count:6}  {key}")


def main() -> None:
    """Prints the tables of lost requests."""
    lost = [item for item in read_requests(sys.argv[1]) if item.is_lost]
    kinds = collections.Counter(item.kind for item in lost)
    _print_counts("lost by kind", kinds, 10)
    for kind in kinds:
        of_kind = [item for item in lost if item.kind == kind]
        paths = collections.Counter(
            f"{item.result}: {item.attempt_results}" for item in of_kind
        )
        _print_counts(f"{kind}: attempts", paths, 12)
    intervals = collections.Counter(
        (item.ended_at // INTERVAL_SECONDS * INTERVAL_SECONDS, item.kind)
        for item in lost
    )
    print("\nlost by time")
    for (start, kind), count in sorted(intervals.items()):
        print(f"{start:6.0f} s  {kind}: {count}")


if __name__ == "__main__":
    main()
