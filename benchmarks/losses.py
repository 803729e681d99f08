"""Says where requests were lost, from the log lines of all nodes of a day.

    python benchmarks/losses.py LOG

LOG holds one JSON line of a node's log per line, each behind the time of the
day in seconds and the node's name, separated by blanks. Printed are requests
that were not answered well, by kind, by the way that they went and by moment.
A kind is its service and whether it must not repeat.
"""

import collections
import dataclasses
import json
import sys

# Long enough to hold some losses each, short enough to tell one trouble of a
# day from the next.
MOMENT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request's line.

    Attributes:
      at: seconds of the day at which it ended.
      service: its service.
      once: whether it must not repeat.
      result: what its caller got.
      milliseconds: how long it took.
      tries: the tries, as logged.
    """

    at: float
    service: str
    once: bool
    result: str
    milliseconds: int
    tries: list[dict]

    @property
    def is_lost(self) -> bool:
        """Whether its caller got no answer of use."""
        return self.result != "200"

    @property
    def kind(self) -> str:
        """Service and whether it must not repeat."""
        return f"{self.service} {'once' if self.once else 'again'}"

    @property
    def way(self) -> str:
        """The tries in short: each result, with doubt before it where high."""
        return " > ".join(_step(item) for item in self.tries) or "no try"


def read(path: str) -> list[Request]:
    """The requests of a log."""
    found = []
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            at, _, rest = line.strip().partition(" ")
            start = rest.find("{")
            if start < 0 or '"message": "request"' not in rest:
                continue
            try:
                fields = json.loads(rest[start:])
            except json.JSONDecodeError:
                continue
            found.append(
                Request(
                    float(at),
                    fields["service"],
                    fields["once"],
                    fields["result"],
                    fields["milliseconds"],
                    fields["tries"],
                )
            )
    return found


def _step(item: dict) -> str:
    doubt = "?" if item["suspicion"] >= 0.5 else ""
    return f"{item['result']}{doubt}"


def _print_counts(title: str, counts: collections.Counter, most: int) -> None:
    print(f"\n{title}")
    for key, count in counts.most_common(most):
        print(f"{count:6}  {key}")


def main() -> None:
    """Prints the tables."""
    lost = [item for item in read(sys.argv[1]) if item.is_lost]
    kinds = collections.Counter(item.kind for item in lost)
    _print_counts("lost by kind", kinds, 10)
    for kind in kinds:
        of_kind = [item for item in lost if item.kind == kind]
        ways = collections.Counter(
            f"{item.result}: {item.way}" for item in of_kind
        )
        _print_counts(f"{kind}: ways", ways, 12)
    moments = collections.Counter(
        (item.at // MOMENT_SECONDS * MOMENT_SECONDS, item.kind) for item in lost
    )
    print("\nlost by moment")
    for (moment, kind), count in sorted(moments.items()):
        print(f"{moment:6.0f} s  {kind}: {count}")


if __name__ == "__main__":
    main()
