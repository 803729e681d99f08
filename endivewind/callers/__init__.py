"""The side towards callers: HTTP listener, routing, placement and tickets."""
