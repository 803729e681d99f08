"""Test doubles for the platform, targets and links, with injectable faults."""
