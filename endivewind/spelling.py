"""Suggests corrections of mistyped names in error messages."""

import collections.abc
import difflib


def did_you_mean(name: str, known: collections.abc.Iterable[str]) -> str:
    """Returns a "did you mean" suffix for a message; empty if none is close."""
    matches = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {matches[0]!r}?" if matches else ""
