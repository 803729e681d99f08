"""Reads what a target says of itself in the headers of its responses.

The dispatcher reads the headers of each genuine response.
"""

import collections.abc
import math

import expression

from endivewind import headers

_LEAVING_VALUE = "1"
_MAX_QUOTED_CHARACTERS = 20


def is_leaving(
    response_headers: collections.abc.Mapping[str, str],
    names: headers.HeaderNames,
) -> bool:
    """Returns whether a response says that its target is about to stop."""
    return response_headers.get(names.leaving) == _LEAVING_VALUE


def rate_limit(
    response_headers: collections.abc.Mapping[str, str],
    names: headers.HeaderNames,
) -> expression.Result[float | None, str]:
    """Returns the rate limit that a response names, or why it is invalid.

    Returns:
      Requests per second that the target accepts from all nodes together; None
      if the response names no limit.
    """
    text = response_headers.get(names.rate_limit)
    if text is None:
        return expression.Ok(None)
    limit = _decimal(text)
    if limit is None:
        quoted = text[:_MAX_QUOTED_CHARACTERS]
        return expression.Error(f"{names.rate_limit}: not a rate: {quoted}")
    return expression.Ok(limit)


def _decimal(text: str) -> float | None:
    """Returns a finite number that is not negative, or None."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
