"""Tests of reloading settings while the process runs."""

import pathlib
import tempfile
import unittest

from endivewind.config import settings_reloader

_INITIAL_SETTINGS = "{name: a, region: r, zone: z, platform: 'http://p'}"


class SettingsReloaderTest(unittest.IsolatedAsyncioTestCase):
    """The file may be rewritten with or without a signal."""

    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "settings.yaml"
        self.path.write_text(_INITIAL_SETTINGS)
        self.reloaded = []
        self.reloader = settings_reloader.SettingsReloader(
            str(self.path), self.reloaded.append
        )

    def _write(self, text):
        self.path.write_text(text)
        self.reloader.check()

    async def test_change_is_applied_once(self):
        self._write(_INITIAL_SETTINGS.replace("name: a", "name: b"))
        self.reloader.check()

        self.assertEqual(["b"], [item.name for item in self.reloaded])

    async def test_invalid_file_changes_nothing(self):
        self._write("{name: A!}")
        self._write("{{{")

        self.assertEqual([], self.reloaded)

    async def test_missing_file_is_read_once_it_is_back(self):
        self.path.unlink()
        self.reloader.check()

        self._write(_INITIAL_SETTINGS.replace("name: a", "name: c"))

        self.assertEqual(["c"], [item.name for item in self.reloaded])
