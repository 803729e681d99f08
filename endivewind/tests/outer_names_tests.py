"""Names that leave a process stay as they are."""

import unittest

from endivewind.tests import outer_names


class OuterNamesTest(unittest.TestCase):
    """Guards against renames that peers or stored data would notice."""

    maxDiff = None

    def test_names_are_those_of_the_list(self):
        self.assertEqual(
            outer_names.FILE.read_text().splitlines(), outer_names.collect()
        )
