"""Flags that several measurements share."""

import re

from absl import flags

from endivewind import exceptions

NODES = flags.DEFINE_integer(
    "nodes", 0, "Nodes; 0 takes the measurement's own."
)
SEEDS = flags.DEFINE_string(
    "seeds", "", "Seeds to play: 50 for the first fifty, or 7-9."
)

_RANGE = re.compile(r"(?:([1-9]\d*)-)?([1-9]\d*)")


def seeds(default: str) -> range:
    """The seeds that --seeds names.

    Args:
      default: what a measurement plays where it names none.

    Raises:
      exceptions.UsageError: the flag names no seeds.
    """
    text = SEEDS.value or default
    match = _RANGE.fullmatch(text)
    if match is None:
        raise exceptions.UsageError(f"--seeds={text}: use 50 or 7-9")
    first, last = int(match[1] or 1), int(match[2])
    if first > last:
        raise exceptions.UsageError(f"--seeds={text}: the first is above")
    return range(first, last + 1)
