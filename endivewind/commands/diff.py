"""endivewind diff: what submitting a file would change.

Objects that the file holds in an earlier state are shown as "kept": another
operator has changed them since, and submit leaves them as they are. With
--base=FILE, the state that the file was edited from, an object that both
have changed is shown as "refused" with both changes. Exit code 1 if
anything differs, 0 if nothing does.
"""

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import submissions
from endivewind.config import planning
from endivewind.platform import client

USAGE = "diff FILE|- --platform=URL [--base=FILE] [--remove=KIND/NAME,...]"

flags.declare_key_flag("base")
flags.declare_key_flag("remove")
flags.declare_key_flag("platform")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints each object that differs."""
    if len(arguments) != 1:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")

    async def work(platform: client.PlatformClient) -> int:
        held = await submissions.current(platform)
        steps = submissions.steps(arguments[0], held)
        shown = [
            step for step in steps if step.action is not planning.Action.SAME
        ]
        lines = [
            line for step in shown for line in submissions.step_lines(step)
        ]
        options.show(
            [submissions.step_json(step) for step in shown],
            "\n".join(lines) or "no difference",
        )
        return 1 if shown else 0

    return running.loop(options.with_platform(work))
