"""API keys that authenticate callers as members of a workspace.

Only digests are stored, replicated and compared, so keys can't be learned from
a node's memory, its logs or the objects that nodes exchange.
"""

import hashlib
from typing import Annotated

import expression
import pydantic

# Digests are not salted, so keys must be too long for a brute-force search.
# Only the length is checked, not the randomness; operators choose the keys.
MIN_KEY_CHARACTERS = 16
_DIGEST_BYTES = 16

Digest = Annotated[
    str, pydantic.Field(pattern=rf"^[0-9a-f]{{{2 * _DIGEST_BYTES}}}$")
]


def digest(key: str) -> str:
    """Returns the digest of a key, as stored in the configuration."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def checked_digest(key: str) -> expression.Result[str, str]:
    """Returns the digest of an operator's key, or why the key is invalid."""
    if not key:
        return expression.Error("a key is empty")
    if len(key) < MIN_KEY_CHARACTERS:
        return expression.Error(
            f"a key has {len(key)} characters; {MIN_KEY_CHARACTERS} are needed"
        )
    return expression.Ok(digest(key))
