"""Keys by which callers show which workspace they belong to.

Only digests are kept, spread and compared: who reads a node's memory, its
logs or the objects that nodes exchange learns no key.
"""

import hashlib
from typing import Annotated

import expression
import pydantic

# A digest is not salted, so a key must be too long to be guessed from it.
MIN_KEY_CHARACTERS = 16
_DIGEST_BYTES = 16

Digest = Annotated[
    str, pydantic.Field(pattern=rf"^[0-9a-f]{{{2 * _DIGEST_BYTES}}}$")
]


def digest(key: str) -> str:
    """The digest of a key, as configuration holds it."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def checked_digest(key: str) -> expression.Result[str, str]:
    """The digest of a key that an operator gives, or what is wrong with it."""
    if not key:
        return expression.Error("a key is empty")
    if len(key) < MIN_KEY_CHARACTERS:
        return expression.Error(
            f"a key has {len(key)} characters; {MIN_KEY_CHARACTERS} are needed"
        )
    return expression.Ok(digest(key))
