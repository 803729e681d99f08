"""endivewind diff: shows what submitting a file would change.

An object is shown as "kept" if the file holds a state of it that was on the
platform before the present one: another operator has changed it since, and
submit keeps it as it is on the platform. With --base=FILE, the file as it was
before editing, an object that both operators changed is shown as "refused",
with both changes. The exit code is 1 if anything differs and 0 otherwise.
"""

from absl import flags

from endivewind import exceptions
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.commands import submissions
from endivewind.config import planning
from endivewind.platform import client

USAGE = "diff FILE|- --platform=URL [--base=FILE] [--remove=KIND/NAME,...]"

flags.declare_key_flag("base")
flags.declare_key_flag("remove")
flags.declare_key_flag("platform")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints each object that differs between file and platform."""
    if len(arguments) != 1:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")

    async def run(platform: client.PlatformClient) -> int:
        stored = await submissions.read_configuration(platform)
        steps = submissions.plan_submission(arguments[0], stored)
        shown = [
            step for step in steps if step.action is not planning.Action.SAME
        ]
        lines = [
            line for step in shown for line in submissions.step_lines(step)
        ]
        options.print_result(
            [submissions.step_json(step) for step in shown],
            "\n".join(lines) or "no differences",
        )
        return 1 if shown else 0

    return cli.run_async(options.run_with_platform(run))
