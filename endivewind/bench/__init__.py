"""Experiments on the decisions in virtual time: no sockets, no processes."""
