"""Errors shown to users without a traceback."""

import collections.abc

from endivewind.config import findings as finding_types


class EndivewindError(Exception):
    """An error whose message is for the user; base of all of ours."""

    exit_code = 1

    @property
    def findings(self) -> tuple[finding_types.Finding, ...]:
        """What was found in a file, where a file is the cause."""
        return ()


class UsageError(EndivewindError):
    """The command line or an input file is wrong; nothing was done."""

    exit_code = 2


class InvalidFileError(UsageError):
    """An input file with findings."""

    def __init__(
        self, found: collections.abc.Iterable[finding_types.Finding]
    ) -> None:
        self._findings = tuple(found)
        super().__init__("\n".join(str(item) for item in self._findings))

    @property
    def findings(self) -> tuple[finding_types.Finding, ...]:
        """Every finding of the file."""
        return self._findings


class UnavailableError(EndivewindError):
    """The platform or a node could not be reached or did not answer."""

    exit_code = 3
