"""Findings: what is wrong with a file, each with its place."""

import dataclasses
import enum


class Severity(enum.Enum):
    """Whether a finding stops the work."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing found in a file.

    Attributes:
      file: the file's name as the user gave it.
      line: line number from 1; 0 where the file as a whole is meant.
      path: dotted path of the key.
      message: what is wrong and what is allowed.
      seen: the value seen, shortened.
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
        """The finding as plain JSON values."""
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
