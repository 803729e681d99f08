"""Tests of the soak: its schedules and its checks."""
