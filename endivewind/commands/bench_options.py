"""Flags that several measurements share."""

from absl import flags

NODES = flags.DEFINE_integer(
    "nodes", 0, "Nodes; 0 takes the measurement's own."
)
