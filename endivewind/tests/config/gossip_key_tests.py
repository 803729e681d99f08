"""Tests that links with TLS require signed gossip datagrams."""

import unittest

import pydantic

from endivewind.config import settings

NODE = {
    "name": "n1",
    "region": "andina",
    "zone": "andina-a",
    "platform": "http://127.0.0.1:1",
}
TLS = {"certificate": "c.pem", "key": "k.pem", "authority": "a.pem"}
KEY = "0123456789abcdef"


class GossipKeyTest(unittest.TestCase):
    """Validation of gossip_key in the settings of a node."""

    def test_secured_links_need_signed_datagrams(self):
        """Unsigned datagrams could declare nodes dead in spite of TLS."""
        with self.assertRaisesRegex(pydantic.ValidationError, "gossip_key"):
            settings.NodeSettings(**NODE, nodes_tls=TLS)
        settings.NodeSettings(**NODE, nodes_tls=TLS, gossip_key=KEY)

    def test_short_key_is_refused_and_no_key_is_shown(self):
        with self.assertRaisesRegex(pydantic.ValidationError, "16 characters"):
            settings.NodeSettings(**NODE, gossip_key="short")
        shown = repr(settings.NodeSettings(**NODE, gossip_key=KEY))
        self.assertNotIn(KEY, shown)


if __name__ == "__main__":
    unittest.main()
