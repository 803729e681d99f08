"""Communication between nodes: gossip, membership, links and messages."""
