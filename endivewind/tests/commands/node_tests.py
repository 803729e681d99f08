"""Tests that a failed start of a node gives an error without traceback."""

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


def _run_node(**settings) -> subprocess.CompletedProcess[str]:
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
    """Error messages and exit codes of a failed start."""

    def test_all_settings_findings_are_printed(self):
        completed = _run_node(zone="", platform="nowhere", calers="127.0.0.1:1")

        self.assertEqual(2, completed.returncode)
        for path in ("zone", "platform", "calers"):
            self.assertIn(f": {path}: error:", completed.stderr)

    def test_missing_tls_files(self):
        tls = {"certificate": "/nowhere.pem", "key": "/nowhere.key"}

        completed = _run_node(callers_tls=tls)

        self.assertEqual(2, completed.returncode)
        self.assertNotIn("Traceback", completed.stderr)
        self.assertIn("/nowhere.pem", completed.stderr)

    def test_address_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            completed = _run_node(callers=f"127.0.0.1:{port}")

        self.assertEqual(1, completed.returncode)
        self.assertNotIn("Traceback", completed.stderr)
        self.assertIn("can't listen", completed.stderr)

    def test_missing_settings_flag(self):
        code = "from endivewind.commands import node; node.run()"
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )

        self.assertEqual(2, completed.returncode)
        self.assertIn("--settings=FILE", completed.stderr)
