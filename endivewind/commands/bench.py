"""The program endivewind-bench, with one module for each measurement."""

from endivewind.commands import cli

MEASUREMENTS: tuple[str, ...] = (
    "clients",
    "control",
    "decisions",
    "matrix",
    "overhead",
    "retries",
    "soak",
    "spreading",
)

BINARY = cli.Binary(
    name="endivewind-bench",
    summary="endivewind-bench: measurements on one machine, over loopback.",
    module_prefix="endivewind.commands.bench_",
    commands=MEASUREMENTS,
)


def run() -> None:
    """Runs the console script."""
    BINARY.run()
