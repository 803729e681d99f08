"""Starting a node that can't start: a message, no traceback."""

import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

import yaml

_SETTINGS = {
    "name": "node-a",
    "region": "andina",
    "zone": "andina-a",
    "platform": "http://127.0.0.1:1",
}


def _start(**settings) -> subprocess.CompletedProcess[str]:
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "node.yaml"
        file.write_text(yaml.safe_dump({**_SETTINGS, **settings}))
        code = "from endivewind.commands import node; node.run()"
        return subprocess.run(
            [sys.executable, "-c", code, f"--settings={file}"],
            capture_output=True,
            text=True,
            timeout=20,
        )


class StartTest(unittest.TestCase):
    """What an operator sees in the terminal, and the exit code."""

    def test_all_findings_of_the_settings(self):
        ended = _start(zone="", platform="nowhere", calers="127.0.0.1:1")

        self.assertEqual(2, ended.returncode)
        for path in ("zone", "platform", "calers"):
            self.assertIn(f": {path}: error:", ended.stderr)

    def test_tls_files_that_are_not_there(self):
        tls = {"certificate": "/nowhere.pem", "key": "/nowhere.key"}

        ended = _start(callers_tls=tls)

        self.assertEqual(2, ended.returncode)
        self.assertNotIn("Traceback", ended.stderr)
        self.assertIn("/nowhere.pem", ended.stderr)

    def test_address_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            ended = _start(callers=f"127.0.0.1:{port}")

        self.assertEqual(1, ended.returncode)
        self.assertNotIn("Traceback", ended.stderr)
        self.assertIn("can't listen", ended.stderr)

    def test_no_settings(self):
        code = "from endivewind.commands import node; node.run()"
        ended = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )

        self.assertEqual(2, ended.returncode)
        self.assertIn("--settings=FILE", ended.stderr)
