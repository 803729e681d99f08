"""Errors shown to users without a traceback."""


class EndivewindError(Exception):
    """An error whose message is for the user; base of all of ours."""

    exit_code = 1


class UsageError(EndivewindError):
    """The command line or an input file is wrong; nothing was done."""

    exit_code = 2


class UnavailableError(EndivewindError):
    """The platform or a node could not be reached or did not answer."""

    exit_code = 3
