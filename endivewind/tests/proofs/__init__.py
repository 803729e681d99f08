"""End-to-end tests of the system's guarantees, on real processes."""
