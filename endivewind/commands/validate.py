"""endivewind validate: checks a file and reports all errors and warnings.

FILE is a configuration as accepted by `endivewind submit`, or the settings of
a node with --kind=settings; "-" is standard input. Each finding gives the
file, the line, the path of the key, the actual value and the allowed ones.
Warnings do not change the exit code unless --strict is given.
"""

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.config import base
from endivewind.config import findings
from endivewind.config import objects
from endivewind.config import settings

USAGE = "validate FILE|- [--kind=configuration|settings] [--strict]"

_KINDS: dict[str, type[base.Model]] = {
    "configuration": objects.ConfigurationFile,
    "settings": settings.NodeSettings,
}
_KIND = flags.DEFINE_enum(
    "kind", "configuration", list(_KINDS), "Type of the file."
)
_STRICT = flags.DEFINE_bool("strict", False, "Treat warnings as errors.")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints that the file is valid, or every finding with its location."""
    if len(arguments) != 1:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    file = arguments[0]
    loaded = options.load_file(file, _KINDS[_KIND.value])
    warnings = loaded.warnings
    if warnings and _STRICT.value:
        raise exceptions.InvalidFileError(warnings)
    value = {"valid": True, "findings": [item.as_json() for item in warnings]}
    name = options.STDIN if file == "-" else file
    options.print_result(value, _format_findings(name, warnings))
    return 0


def _format_findings(file: str, warnings: tuple[findings.Finding, ...]) -> str:
    lines = [str(item) for item in warnings]
    verdict = f"valid, {len(warnings)} warnings" if warnings else "valid"
    return "\n".join([*lines, f"{file}: {verdict}"])
