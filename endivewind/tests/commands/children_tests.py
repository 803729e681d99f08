"""Tests of child processes."""

import asyncio
import unittest

from endivewind import exceptions
from endivewind.commands import children


class ChildProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_during_start_ends_the_start(self):
        """Guards against a second reader of a process that is starting."""
        process = await asyncio.create_subprocess_exec(
            "sleep", "60", stdout=asyncio.subprocess.PIPE
        )
        child = children.ChildProcess("sleep", process)
        start = asyncio.create_task(child.wait_for_line(lambda line: True))
        await asyncio.sleep(0)

        await child.stop()

        with self.assertRaisesRegex(exceptions.EndivewindError, "sleep did"):
            await start


if __name__ == "__main__":
    unittest.main()
