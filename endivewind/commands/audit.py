"""endivewind audit: lists who changed what, when and from which version.

Prints one line for each configuration change and for each ejection, return to
service, drain and membership change that nodes recorded, oldest first. The
outcome "intended" means that no final outcome was recorded; check the current
state with `endivewind get`.
"""

from absl import flags

from endivewind import exceptions
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.commands import submissions
from endivewind.commands import tables
from endivewind.durable import audit
from endivewind.platform import client

USAGE = "audit --platform=URL [--subject=KIND/NAME] [--operation=ID]"

_SUBJECT = flags.DEFINE_string(
    "subject", "", "Show only changes of this object."
)
_OPERATION = flags.DEFINE_string("operation", "", "Show only this operation.")
flags.declare_key_flag("platform")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints the audit records."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")

    async def run(platform: client.PlatformClient) -> int:
        records = await submissions.read_with_retries(
            lambda: audit.read(platform), "the audit trail"
        )
        shown = [
            item
            for item in records
            if _SUBJECT.value in ("", item.subject)
            and _OPERATION.value in ("", item.operation)
        ]
        options.print_result(
            [item.model_dump(mode="json") for item in shown],
            _format_records(shown),
        )
        return 0

    return cli.run_async(options.run_with_platform(run))


def _format_records(records: list[audit.Record]) -> str:
    return tables.format_table(
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
