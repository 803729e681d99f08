"""Finds the known name that a mistyped one was meant to be."""

import collections.abc
import difflib


def hint(name: str, known: collections.abc.Iterable[str]) -> str:
    """A half sentence that names the nearest known name, or nothing."""
    near = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {near[0]!r}?" if near else ""
