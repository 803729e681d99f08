"""Settings that change while the process runs."""

import pathlib
import tempfile
import unittest

from endivewind.config import following

_FIRST = "{name: a, region: r, zone: z, platform: 'http://p'}"


class SettingsFollowerTest(unittest.IsolatedAsyncioTestCase):
    """An operator's tool rewrites the file, with or without a signal."""

    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "settings.yaml"
        self.path.write_text(_FIRST)
        self.taken = []
        self.follower = following.SettingsFollower(
            str(self.path), self.taken.append
        )

    def _write(self, text):
        self.path.write_text(text)
        self.follower.look()

    async def test_a_change_is_taken_once(self):
        self._write(_FIRST.replace("name: a", "name: b"))
        self.follower.look()

        self.assertEqual(["b"], [item.name for item in self.taken])

    async def test_a_file_with_findings_changes_nothing(self):
        self._write("{name: A!}")
        self._write("{{{")

        self.assertEqual([], self.taken)

    async def test_a_file_that_is_gone_for_a_moment_changes_nothing(self):
        self.path.unlink()
        self.follower.look()

        self._write(_FIRST.replace("name: a", "name: c"))

        self.assertEqual(["c"], [item.name for item in self.taken])
