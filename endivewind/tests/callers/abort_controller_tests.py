"""Tests of aborting the work for callers at the stop limit."""

import asyncio
import contextlib
import unittest

from endivewind.callers import abort_controller

WAIT_SECONDS = 5


class AbortControllerTest(unittest.IsolatedAsyncioTestCase):
    """Each test guards against a caller that gets no or a wrong outcome."""

    async def asyncSetUp(self):
        self.aborts = abort_controller.AbortController()
        self.reached = asyncio.Event()
        await self.enterAsyncContext(asyncio.timeout(WAIT_SECONDS))

    async def hang(self):
        self.reached.set()
        await asyncio.Event().wait()

    async def start(self, work):
        """Starts a task and waits until it hangs."""
        self.reached.clear()
        task = asyncio.create_task(work)
        await self.reached.wait()
        return task

    async def test_aborted_work_has_the_given_result(self):
        task = await self.start(self.aborts.run(self.hang, lambda: "aborted"))

        self.aborts.abort_all()

        self.assertEqual("aborted", await task)
        self.assertEqual(0, task.cancelling())

    async def test_finished_work_keeps_its_result(self):
        async def finish():
            return "done"

        self.assertEqual(
            "done", await self.aborts.run(finish, lambda: "aborted")
        )

    async def test_innermost_work_has_the_result(self):
        """The outer work goes on with it, even if it waits."""

        async def outer():
            inner = await self.aborts.run(self.hang, lambda: "inner")
            await asyncio.sleep(0)
            return f"outer got {inner}"

        task = await self.start(self.aborts.run(outer, lambda: "outer"))

        self.aborts.abort_all()
        self.aborts.abort_all()

        self.assertEqual("outer got inner", await task)

    async def test_outer_work_is_aborted_between_inner_work(self):
        async def outer():
            await self.aborts.run(lambda: asyncio.sleep(0), lambda: None)
            await self.hang()

        task = await self.start(self.aborts.run(outer, lambda: "outer"))

        self.aborts.abort_all()

        self.assertEqual("outer", await task)

    async def test_shielded_wait_gets_the_result_of_the_other_task(self):
        inner = await self.start(self.aborts.run(self.hang, lambda: "inner"))

        async def wait():
            with self.aborts.shield():
                return await asyncio.shield(inner)

        task = asyncio.create_task(self.aborts.run(wait, lambda: "outer"))
        await asyncio.sleep(0)

        self.aborts.abort_all()

        self.assertEqual("inner", await task)

    async def test_cancellation_by_the_caller_is_propagated(self):
        for is_aborted in (False, True):
            with self.subTest(is_aborted=is_aborted):
                task = await self.start(
                    self.aborts.run(self.hang, lambda: "aborted")
                )
                if is_aborted:
                    self.aborts.abort_all()
                task.cancel()

                with self.assertRaises(asyncio.CancelledError):
                    await task

    async def test_timeout_around_an_abort_does_not_expire(self):
        """Guards against a cancellation that is counted and not withdrawn."""

        async def ignore_cancellation():
            with contextlib.suppress(asyncio.CancelledError):
                await self.hang()
            return "done"

        async def work():
            async with asyncio.timeout(WAIT_SECONDS):
                return await self.aborts.run(
                    ignore_cancellation, lambda: "aborted"
                )

        task = await self.start(work())

        self.aborts.abort_all()

        self.assertEqual("done", await task)
        self.assertEqual(0, task.cancelling())

    async def test_no_work_starts_after_an_abort(self):
        self.aborts.abort_all()

        result = await self.aborts.run(self.hang, lambda: "aborted")

        self.assertEqual("aborted", result)
        self.assertFalse(self.reached.is_set())


if __name__ == "__main__":
    unittest.main()
