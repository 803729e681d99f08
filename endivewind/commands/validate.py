"""endivewind validate: checks a configuration file."""

from endivewind import exceptions
from endivewind.commands import options

USAGE = "validate FILE"


def main(arguments: list[str]) -> int:
    """Prints "valid", or every finding with its place."""
    if len(arguments) != 1:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    options.load_configuration(arguments[0])
    options.show({"valid": True}, f"{arguments[0]}: valid")
    return 0
