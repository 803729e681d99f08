"""Tests that the parts of JSON texts are those that a parser finds."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.platform import json_parts

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(alphabet='a"\\[]{},: \n', max_size=8),
    lambda values: (
        strategies.lists(values, max_size=4)
        | strategies.dictionaries(
            strategies.text(alphabet='a"\\]}:,', max_size=4), values, max_size=3
        )
    ),
    max_leaves=12,
)
_SEPARATORS = strategies.sampled_from(((",", ":"), (" , ", " : ")))

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100
)


class PartsTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.given(strategies.lists(_VALUES, max_size=5), _SEPARATORS)
    def test_elements_of_an_array(self, value, separators):
        text = json.dumps(value, separators=separators).encode()

        parts = json_parts.split_array(text)

        self.assertEqual(value, [json.loads(part) for part in parts])

    @_SETTINGS
    @hypothesis.given(
        strategies.dictionaries(strategies.text(max_size=4), _VALUES),
        _SEPARATORS,
    )
    def test_members_of_an_object(self, value, separators):
        text = json.dumps(value, separators=separators).encode()

        members = json_parts.split_object(text)

        self.assertEqual(
            value,
            {json.loads(k): json.loads(v) for k, v in members.items()},
        )
        self.assertEqual(value, json.loads(json_parts.join_object(members)))

    def test_text_that_does_not_end_or_begin_is_refused(self):
        """Guards against a part of a text that is taken for the whole."""
        for text in (
            b"",
            b"1",
            b"{}",
            b"[",
            b"[1",
            b'["a',
            b'["a]',
            b"[[1]",
            b"[1]]",
            b"[1] 2",
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                json_parts.split_array(text)


if __name__ == "__main__":
    unittest.main()
