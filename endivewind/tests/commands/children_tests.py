"""Tests of child processes and of the addresses reserved for them."""

import asyncio
import errno
import socket
import unittest

from endivewind import exceptions
from endivewind import http_listening
from endivewind.commands import children

HOST = "127.84.0.1"


class ReservedAddressTest(unittest.TestCase):
    def setUp(self):
        address = self.enterContext(children.reserved_address(HOST))
        self.port = int(address.removeprefix(f"{HOST}:"))

    def test_no_connection_is_given_the_address(self):
        """Guards against processes whose port is taken before they start."""
        with (
            socket.socket() as connection,
            self.assertRaises(OSError) as caught,
        ):
            connection.bind((HOST, self.port))

        self.assertEqual(errno.EADDRINUSE, caught.exception.errno)

    def test_listener_gets_the_address(self):
        backlog = http_listening.Backlog(1, 65_536)
        with (
            http_listening.listen(HOST, self.port, backlog),
            socket.create_connection((HOST, self.port)),
        ):
            pass


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
