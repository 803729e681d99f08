"""Tests of the operators' library and of the two examples that use it."""

import datetime
import pathlib
import runpy
import subprocess
import sys
import unittest

from endivewind import exceptions
from endivewind import operators
from endivewind.config import base
from endivewind.config import caller_keys
from endivewind.config import objects

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
_SERVICES = {
    "camerino_abierto": {"riders", "venues"},
    "saltline_share_ledger": {"share-ledger", "landing-catalog"},
}


def _service(firm: operators.Firm, **changes) -> str:
    values = {
        "profile": operators.Profile.CAPACITY,
        "slots": 3,
        "targets_per_region": 4,
        "floor_targets": 3,
        "timeout": datetime.timedelta(seconds=2),
        **changes,
    }
    return firm.service("riders", **values)


class FirmTest(unittest.TestCase):
    """A program's configuration equals that of a file."""

    def test_yaml_is_loaded_as_the_same_configuration(self):
        firm = operators.Firm("camerino")
        riders = _service(firm)
        firm.workspace("crew", weight=2, rate=10, burst=5)
        firm.route(riders, host="a.example", workspace="crew")

        loaded = base.load_text(firm.to_yaml(), "f", objects.ConfigurationFile)

        self.assertEqual(firm.configuration(), loaded.ok.model)
        service = loaded.ok.model.services["riders"]
        self.assertEqual((9, 2000), (service.floor_slots, service.timeout_ms))

    def test_only_the_digests_of_keys_are_printed(self):
        """Guards against keys in version control and in the platform."""
        firm = operators.Firm("camerino")
        key = "gjqnirth5mgjy5rcpihh"
        firm.workspace("crew", keys=[key])

        printed = firm.to_yaml()

        loaded = base.load_text(printed, "f", objects.ConfigurationFile)
        shard = loaded.ok.model.workspace_shards["camerino"]
        self.assertEqual({caller_keys.digest(key): "crew"}, shard.keys)
        self.assertNotIn(key, printed)

    def test_duplicate_and_invalid_keys_are_rejected(self):
        firm = operators.Firm("camerino")
        key = "gjqnirth5mgjy5rcpihh"
        firm.workspace("crew", keys=[key])
        for keys in ([key], ["short"], [""]):
            with self.assertRaises(exceptions.UsageError) as caught:
                firm.workspace(f"venue-{len(keys[0])}", keys=keys)
            self.assertIn("key 0", str(caught.exception))
            self.assertNotIn(key, str(caught.exception))

    def test_invalid_values_are_reported_with_their_names(self):
        firm = operators.Firm("camerino")

        with self.assertRaises(exceptions.InvalidFileError) as caught:
            _service(firm, slots=0, retry_percent=101)

        self.assertEqual(
            {"slots", "retry_percent"},
            {item.path for item in caught.exception.findings},
        )

    def test_route_to_an_unknown_service(self):
        firm = operators.Firm("camerino")
        _service(firm)
        firm.route("rider", host="a.example")

        with self.assertRaises(exceptions.InvalidFileError) as caught:
            firm.to_yaml()

        self.assertIn("did you mean 'riders'?", str(caught.exception))

    def test_duplicate_names_are_rejected(self):
        firm = operators.Firm("camerino")
        _service(firm)
        firm.workspace("crew")

        with self.assertRaises(exceptions.UsageError):
            _service(firm)
        with self.assertRaises(exceptions.UsageError):
            firm.workspace("crew")


class ExamplesTest(unittest.TestCase):
    """The examples define their firms' services and sizes."""

    def test_examples_are_valid_without_warnings(self):
        for name, services in _SERVICES.items():
            with self.subTest(name):
                module = runpy.run_path(str(_EXAMPLES / f"{name}.py"))
                text = module["build"]().to_yaml()
                loaded = base.load_text(text, name, objects.ConfigurationFile)
                self.assertEqual((), loaded.ok.warnings)
                found = loaded.ok.model.services
                self.assertEqual(services, set(found))
                for service in found.values():
                    self.assertEqual(
                        (3, 4, 9),
                        (
                            service.slots,
                            service.expected_targets,
                            service.floor_slots,
                        ),
                    )

    def test_validate_accepts_the_output_of_a_program(self):
        printed = subprocess.run(
            [sys.executable, str(_EXAMPLES / "camerino_abierto.py")],
            capture_output=True,
            check=True,
            env={"PYTHONPATH": str(_EXAMPLES.parent)},
        )
        code = "from endivewind.commands import main; main.run()"
        checked = subprocess.run(
            [sys.executable, "-c", code, "validate", "-"],
            input=printed.stdout,
            capture_output=True,
            env={"PYTHONPATH": str(_EXAMPLES.parent)},
        )

        self.assertEqual(0, checked.returncode, checked.stderr)
        self.assertEqual(b"<stdin>: valid\n", checked.stdout)
