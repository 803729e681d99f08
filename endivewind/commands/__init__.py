"""The command line: one module for each binary and each command."""
