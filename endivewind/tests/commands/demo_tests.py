"""Tests of the demo, run in a separate process."""

import json
import subprocess
import sys
import unittest

from endivewind.commands import demo


class DemoTest(unittest.TestCase):
    """The demo keeps serving requests while one target has a gray failure."""

    def test_every_request_has_a_known_outcome(self):
        code = "from endivewind.commands import main; main.run()"
        child = subprocess.run(
            [sys.executable, "-c", code, "demo", "--duration=2"]
            + ["--format=json"],
            capture_output=True,
            text=True,
            timeout=30,
        )

        value = json.loads(child.stdout)
        callers = value["callers"]
        total = (
            callers["whole"]
            + callers["failed"]
            + sum(callers["refused"].values())
        )
        self.assertEqual(200, total, child.stderr)
        self.assertEqual(
            [], [k for k in callers["refused"] if "not-run" not in k]
        )
        self.assertLessEqual(set(value["ejected"]), {"riders-3"})
        without_traffic = {*value["ejected"], *value["avoided"]}
        self.assertEqual({"riders-3"}, without_traffic, child.stdout)
        workspace = value["workspace"]
        refused = (workspace["without_key"], workspace["revoked"])
        self.assertEqual((401, 401), refused, child.stdout)
        self.assertEqual(200, workspace["with_key"], child.stdout)
        self.assertGreater(workspace["over_quota"], 0, child.stdout)
        self.assertEqual(0, child.returncode, child.stderr)

    def test_report_lists_ejected_targets(self):
        callers = demo.CallerResults(
            complete=3, failed=2, failed_in_first_half=2
        )

        shown = demo.format_report(callers, {"riders-3": "errors"})

        self.assertIn("Ejected: riders-3", shown)
        self.assertIn("failed responses, second half  0", shown)
