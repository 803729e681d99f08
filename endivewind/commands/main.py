"""The endivewind binary; each command is a module of this package."""

from endivewind.commands import cli

COMMANDS = (
    "validate",
    "submit",
    "get",
    "diff",
    "watch",
    "audit",
    "status",
    "explain",
    "demo",
)

BINARY = cli.Binary(
    name="endivewind",
    summary="endivewind: configures and inspects a fleet of endivewind nodes.",
    module_prefix="endivewind.commands.",
    commands=COMMANDS,
)


def run() -> None:
    """Entry point of the console script."""
    BINARY.run()
