"""Findings: errors and warnings about a file, each with its location."""

import dataclasses
import enum


class Severity(enum.Enum):
    """Severity of a finding; only errors make a file invalid."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """An error or warning about a file.

    Attributes:
      file: name of the file as the user gave it.
      line: line number from 1; 0 if the finding is about the whole file.
      path: dotted path of the key.
      message: what is wrong and what is allowed.
      seen: the invalid value, shortened.
      severity: error or warning.
    """

    file: str
    line: int
    path: str
    message: str
    seen: str = ""
    severity: Severity = dataclasses.field(
        default=Severity.ERROR, compare=False
    )

    def as_json(self) -> dict[str, object]:
        """Returns the finding as JSON values."""
        return {
            "file": self.file,
            "line": self.line,
            "path": self.path,
            "severity": self.severity.value,
            "message": self.message,
            "seen": self.seen,
        }

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}: {self.path}"
        seen = f" (seen: {self.seen})" if self.seen else ""
        return f"{place}: {self.severity.value}: {self.message}{seen}"
