"""Queue of the changes that a node disseminates.

Gossip takes the content of each datagram from it. Each change is sent a number
of times that grows with the logarithm of the fleet's size, as in SWIM.
"""

import math

# Each node sends a change ln(N) + EXTRA_TRANSMITS times. With random receivers
# a node misses a change with probability e^-3 / N, so all nodes receive it in
# 95 of 100 cases; anti-entropy repairs the rest within seconds. Each further
# transmission would add a tenth to the bytes sent by a fleet of 24 nodes.
EXTRA_TRANSMITS = 3
MAX_TRANSMITS = 16
# A change takes about 100 bytes, so a full queue takes 0.4 MB.
MAX_QUEUED_CHANGES = 4096

# Identifies a queued change. For a target change: home, home incarnation,
# sequence number, 1. For a member record: node, incarnation, refutation number,
# state times -1. For a suspect request: fingerprint, generation, failed trials,
# 2, or 3 if it is cleared. As a state is never negative, no two kinds collide.
ChangeKey = tuple[str, int, int, int]


def transmit_count(nodes: int) -> int:
    """Returns how often each node of a fleet of this size sends a change."""
    count = math.ceil(math.log(nodes + 1)) + EXTRA_TRANSMITS
    return min(count, MAX_TRANSMITS)


class ChangeQueue:
    """Changes to send, ordered by how often they have been sent."""

    def __init__(self) -> None:
        self._levels: list[dict[ChangeKey, bytes]] = [
            {} for _ in range(MAX_TRANSMITS)
        ]
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def put(self, key: ChangeKey, payload: bytes) -> None:
        """Adds a change.

        A full queue drops the oldest of the changes that were sent most often:
        other nodes have it already, or get it by anti-entropy. Without the
        limit a mass restart would exhaust memory.
        """
        if self._length >= MAX_QUEUED_CHANGES:
            most_sent_level = next(
                item for item in reversed(self._levels) if item
            )
            most_sent_level.pop(next(iter(most_sent_level)))
            self._length -= 1
        self._levels[0][key] = payload
        self._length += 1

    def take(self, remaining_bytes: int, nodes: int) -> tuple[bytes, ...]:
        """Returns changes for one datagram, the least often sent first.

        Args:
          remaining_bytes: maximum size of the changes.
          nodes: number of nodes in the fleet.
        """
        transmits = transmit_count(nodes)
        selected: list[tuple[int, ChangeKey, bytes]] = []
        for level, items in enumerate(self._levels):
            for key, payload in items.items():
                remaining_bytes -= len(payload) + 4
                if remaining_bytes < 0:
                    break
                selected.append((level, key, payload))
            if remaining_bytes < 0:
                break
        for level, key, payload in selected:
            del self._levels[level][key]
            if level + 1 < transmits:
                self._levels[level + 1][key] = payload
            else:
                self._length -= 1
        return tuple(payload for _, _, payload in selected)
