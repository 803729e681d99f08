"""Tests of loading YAML files: all findings at once, with locations."""

import textwrap
import unittest

from endivewind.config import base
from endivewind.config import findings
from endivewind.config import objects
from endivewind.config import settings

_SETTINGS = "name: a\nregion: r\nzone: z\nplatform: http://p"


def _findings(text: str, model=objects.ConfigurationFile):
    loaded = base.load_text(textwrap.dedent(text), "f.yaml", model)
    assert loaded.is_error(), loaded.ok
    return loaded.error


def _finding_tuples(text: str, model=objects.ConfigurationFile):
    return [
        (item.line, item.path, item.seen) for item in _findings(text, model)
    ]


class MultipleFindingsTest(unittest.TestCase):
    """All errors of a file are reported at once."""

    def test_wrong_value_unknown_key_and_wrong_reference_are_all_reported(self):
        found = _finding_tuples("""\
            services:
              riders:
                slots: 0
                floor_slot: 4
            route_groups:
              camerino:
                routes:
                  - prefix: /riders
                    service: rider
            """)

        self.assertEqual(
            [
                (3, "services.riders.slots", "0"),
                (4, "services.riders.floor_slot", "4"),
                (9, "route_groups.camerino.routes[0].service", "'rider'"),
            ],
            found,
        )

    def test_settings_of_a_node(self):
        found = _finding_tuples(
            """\
            name: node-a
            region: andina
            zone: andina-a
            platform: ftp://platform
            callers: nowhere
            limits:
              body_byte: 1
            """,
            settings.NodeSettings,
        )

        self.assertEqual(
            [
                (4, "platform", "'ftp://platform'"),
                (5, "callers", "'nowhere'"),
                (7, "limits.body_byte", "1"),
            ],
            found,
        )


class SecretsTest(unittest.TestCase):
    """Findings are copied to terminals, tickets and CI logs."""

    def test_invalid_key_is_not_shown(self):
        for line in ("gossip_key: 0xSECRET5", "gossip_key: [SECRET5]"):
            text = f"{_SETTINGS}\n{line}\nnodes_tls: {{certificate: 1}}\n"
            loaded = base.load_text(text, "f", settings.NodeSettings)
            self.assertTrue(loaded.is_error())
            self.assertNotIn("SECRET5", str(loaded.error))

    def test_too_short_key_is_not_shown(self):
        text = f"{_SETTINGS}\ngossip_key: SECRET5\n"

        loaded = base.load_text(text, "f", settings.NodeSettings)

        self.assertIn("gossip_key needs", loaded.error[0].message)
        self.assertNotIn("SECRET5", str(loaded.error))


class UnknownKeysTest(unittest.TestCase):
    """Unknown keys get a suggestion at every level and in every type."""

    def test_nearest_name_at_each_level(self):
        found = _findings("""\
            servces: {}
            services:
              riders: {profil: detection}
            route_groups:
              camerino: {route: []}
              saltline:
                routes:
                  - service: riders
                    hosts: a.example
            workspace_shards:
              one:
                workspaces:
                  crew: {firm: camerino, wieght: 2}
            """)

        hints = {
            item.path: item.message.partition(" Allowed")[0] for item in found
        }
        self.assertEqual(
            {
                "servces": "unknown key; did you mean 'services'?",
                "services.riders.profil": "unknown key; did you mean 'profile'?",
                "route_groups.camerino.route": "unknown key; did you mean 'routes'?",
                "route_groups.saltline.routes[0].hosts": "unknown key; did you mean 'host'?",
                "workspace_shards.one.workspaces.crew.wieght": "unknown key; did you mean 'weight'?",
            },
            hints,
        )

    def test_through_an_optional_model(self):
        found = _findings(
            """\
            name: a
            region: r
            zone: z
            platform: http://p
            nodes_tls: {certificate: c, key: k, athority: a}
            """,
            settings.NodeSettings,
        )

        self.assertIn("did you mean 'authority'?", found[0].message)

    def test_names_that_are_numbers(self):
        found = _finding_tuples("services: {1: {slots: 2}, 2: {slot: 3}}\n")

        self.assertIn((1, "services.1", "1"), found)


class WrongTypesTest(unittest.TestCase):
    """YAML reads some words as numbers or booleans by accident."""

    def test_boolean_or_text_instead_of_number(self):
        found = _finding_tuples("""\
            services:
              riders: {slots: yes}
              venues: {timeout_ms: "100"}
              ledger: {floor_slots: 1.5}
            """)

        self.assertEqual(
            ["services.riders.slots", "services.venues.timeout_ms"]
            + ["services.ledger.floor_slots"],
            [path for _, path, _ in found],
        )

    def test_list_or_text_instead_of_mapping(self):
        self.assertEqual(
            [(1, "services", "a list")], _finding_tuples("services: []\n")
        )
        self.assertEqual([(1, "", "'text'")], _finding_tuples("text\n"))

    def test_infinite_rate(self):
        found = _finding_tuples("""\
            workspace_shards:
              one:
                workspaces:
                  crew: {firm: camerino, rate: .inf}
            """)

        self.assertEqual(
            [(4, "workspace_shards.one.workspaces.crew.rate", "inf")], found
        )

    def test_key_instead_of_its_digest(self):
        found = _finding_tuples("""\
            workspace_shards:
              one:
                workspaces: {crew: {firm: camerino}}
                keys: {gjqnirth5mgjy5rcpihh: crew}
            """)

        self.assertEqual(4, found[0][0])
        self.assertIn("workspace_shards.one.keys", found[0][1])

    def test_keys_of_unknown_workspace_and_of_two_workspaces(self):
        digest = "0" * 32
        found = _findings(f"""\
            workspace_shards:
              one:
                workspaces: {{crew: {{firm: camerino}}}}
                keys: {{"{digest}": crew}}
              two:
                workspaces: {{venue: {{firm: camerino}}}}
                keys: {{"{digest}": venue, "1{digest[1:]}": crew}}
            """)

        problems = {item.path: item.message for item in found}
        place = "workspace_shards.two.keys."
        self.assertIn(
            "a key belongs to one workspace", problems[place + digest]
        )
        self.assertIn("not in this shard", problems[f"{place}1{digest[1:]}"])

    def test_allowed_values_are_listed(self):
        found = _findings("services: {riders: {profile: fast}}\n")

        self.assertIn("'detection' or 'capacity'", found[0].message)

    def test_missing_key_has_the_location_of_its_parent(self):
        found = _finding_tuples("""\
            services: {riders: {}}
            route_groups:
              camerino:
                routes:
                  - prefix: /a
            """)

        self.assertEqual(
            [(5, "route_groups.camerino.routes[0].service", "")], found
        )


class UnreadableFilesTest(unittest.TestCase):
    """An invalid YAML file gives a finding and never a traceback."""

    def test_syntax_error_has_its_line(self):
        found = _findings("services:\n  riders: {slots: 3\nroute_groups: }\n")

        self.assertEqual(3, found[0].line)

    def test_duplicate_keys(self):
        found = _finding_tuples("""\
            services:
              riders: {slots: 3}
              riders: {slots: 4}
            """)

        self.assertEqual([(3, "services.riders", "")], found)

    def test_empty_file(self):
        self.assertTrue(
            base.load_text("", "f", objects.ConfigurationFile).is_ok()
        )
        missing = _finding_tuples("", settings.NodeSettings)
        self.assertEqual(
            ["name", "platform", "region", "zone"],
            [path for _, path, _ in missing],
        )

    def test_not_utf8_has_its_line(self):
        raw = "services: {}\n# señal\n".encode("latin-1")

        loaded = base.load_bytes(raw, "f", objects.ConfigurationFile)

        self.assertEqual(2, loaded.error[0].line)
        self.assertIn("not UTF-8", loaded.error[0].message)

    def test_missing_file_and_folder(self):
        for path in ("/nonexistent/file.yaml", "/", "a\0b"):
            loaded = base.load_file(path, objects.ConfigurationFile)
            self.assertIn("can't be read", loaded.error[0].message)

    def test_values_on_which_the_yaml_parser_fails(self):
        texts = {
            "number": "a: " + "9" * 5000,
            "date": "a: 2026-13-45",
            "depth": "[" * 20_000,
            "control character": "a: \x00",
            "unhashable key": "? [a]\n: b",
            "two documents": "a: 1\n---\nb: 2\n",
        }
        for name, text in texts.items():
            with self.subTest(name):
                loaded = base.load_text(text, "f", objects.ConfigurationFile)
                self.assertTrue(loaded.is_error())

    def test_alias_to_itself(self):
        self.assertTrue(_findings("services: &a {x: *a}\n"))

    def test_exponentially_expanding_aliases(self):
        levels = [
            f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9)}]"
            for n in range(1, 30)
        ]
        text = "\n".join(["a0: &a0 [x]", *levels, "services: *a29"])

        found = _findings(text)

        self.assertTrue(all(len(item.seen) < 100 for item in found))


class ReferencesTest(unittest.TestCase):
    """Inconsistencies between several parts of a configuration."""

    def test_floor_above_the_expected_slots_is_a_warning(self):
        loaded = base.load_text(
            "services: {riders: {floor_slots: 10, slots: 3, expected_targets: 3}}",
            "f",
            objects.ConfigurationFile,
        )

        (warning,) = loaded.ok.warnings
        self.assertIs(findings.Severity.WARNING, warning.severity)
        self.assertEqual("services.riders.floor_slots", warning.path)
        self.assertIn("9 slots", warning.message)

    def test_floor_within_the_expected_slots_is_no_warning(self):
        loaded = base.load_text(
            "services: {riders: {floor_slots: 9, slots: 3, expected_targets: 3}}",
            "f",
            objects.ConfigurationFile,
        )

        self.assertEqual((), loaded.ok.warnings)

    def test_two_routes_with_the_same_match_are_a_warning(self):
        loaded = base.load_text(
            textwrap.dedent("""\
                services: {riders: {}, venues: {}}
                route_groups:
                  a: {routes: [{service: riders, prefix: /x}]}
                  b: {routes: [{service: venues, prefix: /x}]}
                """),
            "f",
            objects.ConfigurationFile,
        )

        self.assertEqual(
            ["route_groups.b.routes[0]"],
            [item.path for item in loaded.ok.warnings],
        )

    def test_workspace_in_two_shards(self):
        found = _finding_tuples("""\
            workspace_shards:
              one: {workspaces: {crew: {firm: a}}}
              two: {workspaces: {crew: {firm: b}}}
            """)

        self.assertEqual(
            [(3, "workspace_shards.two.workspaces.crew", "")], found
        )


if __name__ == "__main__":
    unittest.main()
