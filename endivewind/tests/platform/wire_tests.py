"""Tests of entries of other writers that can't be read."""

import unittest

import pydantic

from endivewind.platform import messages
from endivewind.platform import wire

KIND = "node"
# Texts of values that parsers of JSON refuse, or that are none.
UNREADABLE = {
    "nested": b"[" * 300 + b"]" * 300,
    "nested very deeply": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "number too large": b"9" * 5_000,
    "fraction with a long number": b"1" * 5_000 + b"e5",
    "lone surrogate": b'"\\ud800"',
    "bytes that are not UTF-8": b'"\xff\xfe"',
    "control byte": b'"a\x01b"',
    "not JSON": b"nothing",
}
# Values that are unusual, and are read.
READABLE = {
    "nested": b"[" * 100 + b"]" * 100,
    "infinite": b"1e999",
    "brackets in a string": b'"]}\\\\\\"],{"',
}


def item(name, spec, revision=5):
    """Returns the text of an object."""
    return b'{"metadata":{"name":"%b","revision":%d},"spec":%b}' % (
        name,
        revision,
        spec,
    )


def page(*items, more=b"false"):
    """Returns the text of a page of a listing."""
    return b'{"items":[%b],"has_more":%b,"at_rev":9}' % (b",".join(items), more)


def events(*items):
    """Returns the text of the response to a watch."""
    texts = [b'{"object":%b,"deleted":false}' % text for text in items]
    return b'{"events":[%b],"at_rev":9}' % b",".join(texts)


def stored(name, value):
    """Returns an object as it is decoded."""
    return messages.StoredObject(kind=KIND, name=name, version=5, value=value)


GOOD = stored("good", {"a": 1})
GOOD_TEXT = item(b"good", b'{"a":1}')


class UnreadableEntriesTest(unittest.TestCase):
    """Another writer has stored one odd entry among those of the nodes."""

    def specs(self):
        for name, value in UNREADABLE.items():
            yield name, value
            yield f"{name}, in a field", b'{"a":1,"odd":%b}' % value

    def test_the_others_of_a_page_are_read(self):
        """Guards against nodes that end or wait because of one odd entry."""
        for name, spec in self.specs():
            with self.subTest(name):
                text = page(item(b"odd", spec), GOOD_TEXT, more=b"true")

                decoded = wire.decode_page(KIND, text)

                self.assertEqual(
                    (9, True), (decoded.revision, decoded.has_more)
                )
                self.assertEqual(
                    (stored("odd", {}), GOOD),
                    decoded.objects,
                )

    def test_the_others_of_a_watch_are_read(self):
        """Guards against nodes that no longer follow changes."""
        for name, spec in self.specs():
            with self.subTest(name):
                text = events(item(b"odd", spec), GOOD_TEXT)

                decoded = wire.decode_events(KIND, text)

                self.assertEqual(9, decoded.revision)
                self.assertEqual(
                    (stored("odd", {}), GOOD),
                    decoded.objects,
                )

    def test_version_of_an_object_is_read(self):
        """Guards against a node that can't replace its own entry."""
        for name, spec in self.specs():
            with self.subTest(name):
                decoded = wire.decode_object(KIND, item(b"odd", spec))

                self.assertEqual(stored("odd", {}), decoded)

    def test_unusual_values_are_read(self):
        for name, value in READABLE.items():
            with self.subTest(name):
                text = item(b"odd", b'{"odd":%b}' % value)

                for decoded in (
                    wire.decode_object(KIND, text),
                    *wire.decode_page(KIND, page(text)).objects,
                ):
                    self.assertEqual(["odd"], list(decoded.value))

    def test_odd_metadata_hides_neither_name_nor_version(self):
        """Guards against finalizers of another writer."""
        text = (
            b'{"metadata":{"finalizers":%b,"name":"odd","revision":5},'
            b'"spec":{"a":1}}' % UNREADABLE["nested"]
        )

        decoded = wire.decode_page(KIND, page(text, GOOD_TEXT))

        self.assertEqual(["odd", "good"], [i.name for i in decoded.objects])

    def test_item_without_a_name_is_skipped(self):
        """Guards against a page that is lost with an item that is no object."""
        for text in (
            b"7",
            b"null",
            b"{}",
            b'{"metadata":7,"spec":{}}',
            b'{"metadata":{"name":7,"revision":5},"spec":{}}',
            b'{"metadata":{"name":"odd","revision":0},"spec":{}}',
            UNREADABLE["nested"],
            b'{"spec":%b}' % UNREADABLE["nested"],
        ):
            with self.subTest(text[:40]):
                listed = wire.decode_page(KIND, page(text, GOOD_TEXT)).objects
                watched = wire.decode_events(KIND, events(text, GOOD_TEXT))

                self.assertEqual((GOOD,), listed)
                self.assertEqual((GOOD,), watched.objects)

    def test_removal_of_an_odd_entry_is_read(self):
        odd = item(b"odd", UNREADABLE["nested"])
        text = b'{"events":[{"object":%b,"deleted":true}],"at_rev":9}' % odd

        decoded = wire.decode_events(KIND, text)

        self.assertEqual({}, decoded.objects[0].value)

    def test_response_that_is_cut_or_has_no_revision_is_invalid(self):
        """Guards against a part of a listing that is taken for the whole."""
        odd = item(b"odd", UNREADABLE["nested"])
        whole = page(odd, GOOD_TEXT)
        for text in (
            whole[:-1],
            whole[: len(whole) // 2],
            whole + b"x",
            whole.replace(b'"at_rev":9', b'"at":9'),
            b'{"items":7,"at_rev":9}',
            b"[]",
            b"",
        ):
            with self.subTest(text[-20:]):
                with self.assertRaises(pydantic.ValidationError):
                    wire.decode_page(KIND, text)
                with self.assertRaises(pydantic.ValidationError):
                    wire.decode_events(KIND, text.replace(b"items", b"events"))


if __name__ == "__main__":
    unittest.main()
