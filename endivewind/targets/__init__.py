"""A home node's side towards its targets: announcements and dispatch."""
