"""The side towards other nodes: messages, links, gossip."""
