"""Changes that a node has still to pass on, and how often it does so."""

import math

# Each node passes a change on ln(N) + this many times. With all pushes random
# a node then misses one with e^-3 / N, so that all hear of it in 95 of 100
# cases; digests repair the rest in seconds. Each further one costs a fleet of
# two dozen a tenth of its bytes.
EXTRA_TRANSMITS = 3
MAX_TRANSMITS = 16
# A change takes about a hundred bytes; a full queue holds 0.4 MB.
MAX_QUEUED = 4096

# Node, its incarnation, then sequence and 1 or refutation and state.
Key = tuple[str, int, int, int]


def transmits_of(nodes: int) -> int:
    """How often each of so many nodes passes on a change."""
    wanted = math.ceil(math.log(nodes + 1)) + EXTRA_TRANSMITS
    return min(wanted, MAX_TRANSMITS)


class ChangeQueue:
    """Changes to pass on, the least often sent first."""

    def __init__(self) -> None:
        self._levels: list[dict[Key, bytes]] = [
            {} for _ in range(MAX_TRANSMITS)
        ]
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def put(self, key: Key, payload: bytes) -> None:
        """Adds a change.

        A full queue drops what was sent most: others have it, and the digest
        repairs the rest. Without a bound a mass restart would fill memory.
        """
        if self._length >= MAX_QUEUED:
            fullest = next(item for item in reversed(self._levels) if item)
            fullest.pop(next(iter(fullest)))
            self._length -= 1
        self._levels[0][key] = payload
        self._length += 1

    def take(self, room: int, nodes: int) -> tuple[bytes, ...]:
        """Changes for one datagram, within so many bytes.

        Args:
          room: bytes that they may take.
          nodes: how many nodes are to hear of them.
        """
        transmits = transmits_of(nodes)
        taken: list[tuple[int, Key, bytes]] = []
        for level, items in enumerate(self._levels):
            for key, payload in items.items():
                room -= len(payload) + 4
                if room < 0:
                    break
                taken.append((level, key, payload))
            if room < 0:
                break
        for level, key, payload in taken:
            del self._levels[level][key]
            if level + 1 < transmits:
                self._levels[level + 1][key] = payload
            else:
                self._length -= 1
        return tuple(payload for _, _, payload in taken)
