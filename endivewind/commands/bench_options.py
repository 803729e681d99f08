"""Flags shared by several measurements."""

import re

from absl import flags

from endivewind import exceptions

NODES = flags.DEFINE_integer(
    "nodes", 0, "Number of nodes; 0 uses the measurement's default."
)
SEEDS = flags.DEFINE_string(
    "seeds", "", "Seeds to run: 50 for seeds 1 to 50, or a range such as 7-9."
)

_RANGE = re.compile(r"(?:([1-9]\d*)-)?([1-9]\d*)")


def parse_seeds(default: str) -> range:
    """Returns the seeds given by --seeds.

    Args:
      default: value used if the flag is empty.

    Raises:
      exceptions.UsageError: the value of the flag is invalid.
    """
    text = SEEDS.value or default
    match = _RANGE.fullmatch(text)
    if match is None:
        raise exceptions.UsageError(f"--seeds={text}: use 50 or 7-9")
    first, last = int(match[1] or 1), int(match[2])
    if first > last:
        raise exceptions.UsageError(
            f"--seeds={text}: the first seed is above the last"
        )
    return range(first, last + 1)
