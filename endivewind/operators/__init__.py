"""The side towards operators: configuration builders and status."""
