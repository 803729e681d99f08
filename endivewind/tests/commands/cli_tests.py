"""Tests of the command line: help, suggestions and exit codes."""

import contextlib
import importlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from absl import flags
from absl.testing import flagsaver

from endivewind.commands import bench
from endivewind.commands import cli
from endivewind.commands import main
from endivewind.commands import status

# Flags are defined on import; import all commands before a test saves values.
for _command in main.COMMANDS:
    importlib.import_module(main.BINARY.module_prefix + _command)


def _run(binary: cli.Binary, *arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = binary.main(list(arguments))
    return code, out.getvalue(), err.getvalue()


class CommandLineTest(unittest.TestCase):
    """Help, errors and exit codes of the binaries."""

    def setUp(self):
        self._saved = flagsaver.save_flag_values(flags.FLAGS)

    def tearDown(self):
        flagsaver.restore_flag_values(self._saved, flags.FLAGS)

    def test_help_of_every_command(self):
        for command in main.COMMANDS:
            with self.subTest(command):
                code, out, _ = _run(main.BINARY, command, "--help")

                self.assertEqual(0, code)
                self.assertIn(f"usage: endivewind {command}", out)
                self.assertIn("  --format:", out)
                self.assertIn(cli.EXIT_CODES, out)

    def test_bench_help_lists_every_measurement(self):
        # In a separate process: two binaries may define the same flag.
        code = "from endivewind.commands import bench; bench.run()"
        child = subprocess.run(
            [sys.executable, "-c", code, "--help"],
            capture_output=True,
            text=True,
        )

        self.assertEqual(0, child.returncode, child.stderr)
        for measurement in bench.MEASUREMENTS:
            self.assertIn(f"endivewind-bench {measurement}", child.stdout)

    def test_flags_in_usage_are_listed(self):
        for command in main.COMMANDS:
            with self.subTest(command):
                _, out, _ = _run(main.BINARY, command, "--help")
                usage, _, listing = out.partition("flags:")
                for word in usage.splitlines()[0].split():
                    name = word.strip("[]").partition("=")[0]
                    if name.startswith("--"):
                        self.assertIn(f"  {name}:", listing)

    def test_binary_help_lists_every_command(self):
        code, out, _ = _run(main.BINARY, "--help")

        self.assertEqual(0, code)
        for command in main.COMMANDS:
            self.assertIn(f"endivewind {command}", out)

    def test_unknown_command(self):
        code, _, err = _run(main.BINARY, "validat")

        self.assertEqual(2, code)
        self.assertIn("did you mean 'validate'?", err)

    def test_no_command(self):
        self.assertEqual(2, _run(main.BINARY)[0])

    def test_unknown_flag(self):
        code, _, err = _run(main.BINARY, "validate", "--frmat=json", "x")

        self.assertEqual(2, code)
        self.assertIn("Did you mean: format?", err)

    def test_invalid_flag_value(self):
        code, _, err = _run(main.BINARY, "validate", "--format=xml", "x")

        self.assertEqual(2, code)
        self.assertIn("json", err)

    def test_invalid_platform_url(self):
        code, _, err = _run(main.BINARY, "get", "a", "b", "--platform=x")

        self.assertEqual(2, code)
        self.assertIn("http://", err)

    def test_unreachable_platform(self):
        code, _, err = _run(
            main.BINARY, "get", "service", "x", "--platform=http://127.0.0.1:1"
        )

        self.assertEqual(3, code)
        self.assertNotIn("Traceback", err)


class ValidateTest(unittest.TestCase):
    """`endivewind validate` with text and JSON output."""

    def setUp(self):
        self._saved = flagsaver.save_flag_values(flags.FLAGS)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._file = pathlib.Path(folder.name) / "f.yaml"

    def tearDown(self):
        flagsaver.restore_flag_values(self._saved, flags.FLAGS)

    def test_findings_as_json(self):
        self._file.write_text("services:\n  riders: {slots: 0, slot: 1}\n")

        code, out, _ = _run(
            main.BINARY, "validate", str(self._file), "--format=json"
        )

        value = json.loads(out)
        self.assertEqual(2, code)
        self.assertEqual(
            [
                (str(self._file), 2, "services.riders.slot", "error", "1"),
                (str(self._file), 2, "services.riders.slots", "error", "0"),
            ],
            [
                tuple(
                    item[key]
                    for key in ("file", "line", "path", "severity", "seen")
                )
                for item in value["findings"]
            ],
        )

    def test_valid_file(self):
        self._file.write_text("services: {riders: {}}\n")

        code, out, _ = _run(
            main.BINARY, "validate", str(self._file), "--format=json"
        )

        self.assertEqual(
            (0, {"valid": True, "findings": []}), (code, json.loads(out))
        )

    def test_warnings_fail_only_when_strict(self):
        self._file.write_text(
            "services: {riders: {floor_slots: 9, expected_targets: 1}}\n"
        )

        lenient, out, _ = _run(main.BINARY, "validate", str(self._file))
        strict, _, _ = _run(
            main.BINARY, "validate", str(self._file), "--strict"
        )

        self.assertEqual((0, 2), (lenient, strict))
        self.assertIn("floor_slots: warning", out)


class StatusTextTest(unittest.TestCase):
    """Text output of `endivewind status`."""

    def test_target_state_is_taken_from_its_home(self):
        target = {
            "id": "riders-1",
            "service": "riders",
            "home": "node-b",
            "zone": "andina-b",
            "slots": 3,
            "state": "ready",
            "health": "normal",
        }
        ejected = {**target, "health": "ejected", "reason": "errors"}
        found = [_node("node-a", [target]), _node("node-b", [ejected])]

        lines = status.format_status(found).splitlines()

        (shown,) = [line for line in lines if line.startswith("riders-1")]
        self.assertEqual(["ejected", "errors"], shown.split()[-2:])

    def test_unresponsive_node(self):
        text = status.format_status(
            [{"operators": "127.0.0.1:1", "error": "refused"}]
        )

        self.assertIn("127.0.0.1:1 did not respond: refused", text)


def _node(name, targets):
    return {
        "node": name,
        "version": 1,
        "in_flight": 0,
        "nodes": [name],
        "targets": targets,
    }
