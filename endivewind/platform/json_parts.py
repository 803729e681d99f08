"""Splits JSON text into its parts without parsing the values in them.

A parser refuses a whole text because of one value that is nested too deeply or
is a number too large. With the parts, the other values can be read.
"""

import re

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Opening or closing brackets, or a separator, and what stands before them.
_TOKEN = re.compile(
    rb'(?:[^\[\]{},:"]++|' + _STRING + rb")*+([\[{]++|[\]}]++|[,:])", re.DOTALL
)
# The same in a nested value, whose separators don't matter. Values that are
# nested no deeper are skipped at once.
_NESTED_TOKEN = re.compile(
    rb'(?:[^\[\]{}"]++|'
    + _STRING
    + rb'|\[[^\[\]{}"]*+\]|\{(?:[^\[\]{}"]++|'
    + _STRING
    + rb")*+\})*+([\[{]++|[\]}]++)",
    re.DOTALL,
)
_OPENING = b"[{"
_CLOSING = b"]}"


def split_array(text: bytes) -> list[bytes]:
    """Returns the texts of an array's elements.

    Raises:
      ValueError: if the text is no array, or its brackets don't match.
    """
    return [value for _, value in _split(text, b"[")]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Returns the texts of an object's values, by their names.

    The names are as they stand in the text, with quotes and escapes.

    Raises:
      ValueError: if the text is no object, or its brackets don't match.
    """
    return dict(_split(text, b"{"))


def join_object(members: dict[bytes, bytes]) -> bytes:
    """Returns the text of an object, from what `split_object` returns."""
    return b"{%b}" % b",".join(b"%b:%b" % item for item in members.items())


def _split(text: bytes, opening: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the names, which are empty in arrays, and values of the parts."""
    if not text.lstrip().startswith(opening):
        raise ValueError(f"the text does not begin with {opening.decode()}")
    parts: list[tuple[bytes, bytes]] = []
    name = b""
    depth = start = 0
    token = _TOKEN.match(text)
    while token is not None:
        mark, position = token[1], token.start(1)
        if mark[0] in _OPENING:
            if not depth:
                start = position + 1
            depth += len(mark)
        elif mark[0] in _CLOSING and len(mark) < depth:
            depth -= len(mark)
        elif mark[0] in _CLOSING:
            end = position + depth - 1
            value = text[start:end].strip()
            if text[end + 1 :].strip():
                break
            return [*parts, (name, value)] if value or parts else []
        elif depth == 1 and mark == b",":
            parts.append((name, text[start:position].strip()))
            name, start = b"", position + 1
        elif depth == 1 and mark == b":":
            name, start = text[start:position].strip(), position + 1
        # Searching would try each position of an unfinished string.
        pattern = _NESTED_TOKEN if depth > 1 else _TOKEN
        token = pattern.match(text, token.end())
    raise ValueError("the brackets do not match")
