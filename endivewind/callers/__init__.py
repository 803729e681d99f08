"""The side towards callers: listener, routing, tickets, outcomes."""
