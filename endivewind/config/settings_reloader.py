"""Reloads the settings file of a running process when it changes."""

import asyncio
import collections.abc
import datetime
import logging
import pathlib

from endivewind import logs
from endivewind.config import base
from endivewind.config import settings

log = logging.getLogger(__name__)

# The file may change without a signal to the process. Reading it takes a few
# microseconds.
POLL_INTERVAL = datetime.timedelta(seconds=1)

ReloadCallback = collections.abc.Callable[[settings.NodeSettings], None]


class SettingsReloader:
    """Passes changed settings to a callback; ignores an invalid file."""

    def __init__(self, path: str, on_reload: ReloadCallback) -> None:
        """Reads the file, whose content is taken to be in effect already.

        Args:
          path: the settings file.
          on_reload: called with the valid settings after each change.
        """
        self._path = pathlib.Path(path)
        self._on_reload = on_reload
        self._last_content = self._read()
        self._check_requested = asyncio.Event()

    def check_now(self) -> None:
        """Makes `run` check the file without waiting for the next poll."""
        self._check_requested.set()

    async def run(self) -> None:
        """Polls the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL.total_seconds()):
                    await self._check_requested.wait()
            except TimeoutError:
                pass
            self._check_requested.clear()
            self.check()

    def check(self) -> None:
        """Reloads the file if its content has changed."""
        raw = self._read()
        if raw is None or raw == self._last_content:
            return
        self._last_content = raw
        loaded = base.load_bytes(raw, str(self._path), settings.NodeSettings)
        if loaded.is_error():
            messages = [str(item) for item in loaded.error]
            # The file is invalid: it is ignored, and the previous settings stay
            # in effect.
            log.error("settings kept", extra=logs.fields(findings=messages))
            return
        self._on_reload(loaded.ok.model)

    def _read(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            # Another process may be replacing the file; the next poll reads it.
            log.warning("settings file can't be read: %s", error)
            return None
