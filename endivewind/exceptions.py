"""Errors that the command line shows to users without a traceback."""

import collections.abc

from endivewind.config import findings as finding_types


class EndivewindError(Exception):
    """Base class of errors whose message is written for the user."""

    exit_code = 1

    @property
    def findings(self) -> tuple[finding_types.Finding, ...]:
        """Findings in an invalid input file; empty for all other errors."""
        return ()


class UsageError(EndivewindError):
    """The command line or an input file is invalid; nothing was changed."""

    exit_code = 2


class InvalidFileError(UsageError):
    """An input file failed validation."""

    def __init__(
        self, findings: collections.abc.Iterable[finding_types.Finding]
    ) -> None:
        self._findings = tuple(findings)
        super().__init__("\n".join(str(item) for item in self._findings))

    @property
    def findings(self) -> tuple[finding_types.Finding, ...]:
        """All findings of the file."""
        return self._findings


class UnavailableError(EndivewindError):
    """The platform or a node is unreachable or did not respond."""

    exit_code = 3
