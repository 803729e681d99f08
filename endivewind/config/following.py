"""Follows the settings file of a running process."""

import asyncio
import collections.abc
import datetime
import logging
import pathlib

from endivewind import logs
from endivewind.config import base
from endivewind.config import settings

log = logging.getLogger(__name__)

# A file may change without a signal; a look at its bytes costs some
# microseconds.
LOOK_PERIOD = datetime.timedelta(seconds=1)

Take = collections.abc.Callable[[settings.NodeSettings], None]


class SettingsFollower:
    """Hands on new settings; a file with findings changes nothing."""

    def __init__(self, path: str, take: Take) -> None:
        """Starts with what the file holds now.

        Args:
          path: the settings file.
          take: called with valid settings each time the file has changed.
        """
        self._path = pathlib.Path(path)
        self._take = take
        self._seen = self._read()
        self._look_now = asyncio.Event()

    def look_now(self) -> None:
        """Looks at the file without waiting for the next time."""
        self._look_now.set()

    async def run(self) -> None:
        """Looks for ever."""
        while True:
            try:
                async with asyncio.timeout(LOOK_PERIOD.total_seconds()):
                    await self._look_now.wait()
            except TimeoutError:
                pass
            self._look_now.clear()
            self.look()

    def look(self) -> None:
        """Takes the file if its bytes have changed."""
        raw = self._read()
        if raw is None or raw == self._seen:
            return
        self._seen = raw
        loaded = base.load_bytes(raw, str(self._path), settings.NodeSettings)
        if loaded.is_error():
            found = [str(item) for item in loaded.error]
            log.error("settings kept", extra=logs.fields(findings=found))
            return
        self._take(loaded.ok.model)

    def _read(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            # It may be replaced in this moment; the next look finds it.
            log.warning("settings file can't be read: %s", error)
            return None
