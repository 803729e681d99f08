"""Command lines: one module for each binary and each command."""
