"""The demo, run whole in one process of its own."""

import json
import subprocess
import sys
import unittest

from endivewind.commands import demo


class DemoTest(unittest.TestCase):
    """`endivewind demo` shows work going on while one target fails gray."""

    def test_every_caller_is_told_and_counted(self):
        code = "from endivewind.commands import main; main.run()"
        child = subprocess.run(
            [sys.executable, "-c", code, "demo", "--duration=2"]
            + ["--format=json"],
            capture_output=True,
            text=True,
            timeout=30,
        )

        value = json.loads(child.stdout)
        seen = value["callers"]
        counted = seen["whole"] + seen["failed"] + sum(seen["refused"].values())
        self.assertEqual(200, counted, child.stderr)
        self.assertEqual([], [k for k in seen["refused"] if "not-run" not in k])
        self.assertLessEqual(set(value["ejected"]), {"riders-3"})
        without_work = {*value["ejected"], *value["avoided"]}
        self.assertEqual({"riders-3"}, without_work, child.stdout)
        workspace = value["workspace"]
        refused = (workspace["without_key"], workspace["revoked"])
        self.assertEqual((401, 401), refused, child.stdout)
        self.assertEqual(200, workspace["with_key"], child.stdout)
        self.assertGreater(workspace["over_quota"], 0, child.stdout)
        self.assertEqual(0, child.returncode, child.stderr)

    def test_text_names_the_ejected(self):
        seen = demo.Seen(whole=3, failed=2, first_half_failed=2)

        shown = demo.text(seen, {"riders-3": "errors"})

        self.assertIn("Ejected: riders-3", shown)
        self.assertIn("failed answers, second half  0", shown)
