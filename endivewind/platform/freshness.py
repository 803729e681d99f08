"""Refuses answers of the platform that are older than one seen before."""

import logging

import expression

from endivewind.platform import messages

log = logging.getLogger(__name__)

# A lagging replica gives a few old answers. A store that was lost gives
# nothing else: after so many in a row what it says is taken, and nodes keep
# their configuration by its own versions.
STALE_LIMIT = 3
# Bound on memory: the oldest marks are forgotten first.
MAX_MARKS = 4_096


class Marks:
    """The highest version of each object and revision seen."""

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], int] = {}
        self._revision = 0
        self._stale = 0

    def check_object(
        self, stored: messages.StoredObject
    ) -> expression.Result[messages.StoredObject, messages.PlatformError]:
        """Takes an object that was read, unless a later one was."""
        key = (stored.kind, stored.name)
        if stored.version < self._versions.get(key, 0) and self._refuse():
            return expression.Error(
                messages.PlatformError(
                    messages.Failure.STALE,
                    f"{stored.kind}/{stored.name}@{stored.version} is older "
                    f"than {self._versions[key]} seen before",
                )
            )
        self.wrote(stored)
        return expression.Ok(stored)

    def check_listing(
        self, listing: messages.Listing
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Takes a listing, unless one of a later revision was seen."""
        if listing.revision < self._revision and self._refuse():
            return expression.Error(
                messages.PlatformError(
                    messages.Failure.STALE,
                    f"revision {listing.revision} is older than "
                    f"{self._revision} seen before",
                )
            )
        self._stale = 0
        self._revision = listing.revision
        return expression.Ok(listing)

    def wrote(self, stored: messages.StoredObject) -> None:
        """Takes an object that is known to have been written."""
        key = (stored.kind, stored.name)
        self._stale = 0
        self._versions.pop(key, None)
        self._versions[key] = stored.version
        if len(self._versions) > MAX_MARKS:
            del self._versions[next(iter(self._versions))]

    def _refuse(self) -> bool:
        self._stale += 1
        if self._stale <= STALE_LIMIT:
            return True
        log.warning("the platform's store has gone back; taking what it says")
        self._versions.clear()
        self._revision = 0
        return False
