"""endivewind audit: who changed what, when, from which version.

One line for each change of the configuration, and for ejections, returns,
drains and membership as nodes have recorded them, oldest first. "intended"
means that the outcome was never recorded: compare with `endivewind get`.
"""

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import submissions
from endivewind.commands import tables
from endivewind.durable import audit
from endivewind.platform import client

USAGE = "audit --platform=URL [--subject=KIND/NAME] [--operation=ID]"

_SUBJECT = flags.DEFINE_string("subject", "", "Only changes of this.")
_OPERATION = flags.DEFINE_string("operation", "", "Only this operation.")
flags.declare_key_flag("platform")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints the records."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")

    async def work(platform: client.PlatformClient) -> int:
        records = await submissions.read(
            lambda: audit.read(platform), "the audit trail"
        )
        shown = [
            item
            for item in records
            if _SUBJECT.value in ("", item.subject)
            and _OPERATION.value in ("", item.operation)
        ]
        options.show(
            [item.model_dump(mode="json") for item in shown], _text(shown)
        )
        return 0

    return running.loop(options.with_platform(work))


def _text(records: list[audit.Record]) -> str:
    return tables.table(
        ("TIME", "ACTOR", "ACTION", "SUBJECT", "FROM", "TO", "OUTCOME")
        + ("OPERATION", "DETAIL"),
        [
            (
                item.time.isoformat(timespec="seconds"),
                item.actor,
                item.action.value,
                item.subject,
                item.from_version,
                item.to_version,
                item.outcome.value,
                item.operation,
                item.detail or "-",
            )
            for item in records
        ],
    )
