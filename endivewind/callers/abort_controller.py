"""Ends the work for callers at the stop limit of a node.

The listener, the gateway and the ticket handler run their work through one
`AbortController`, so that none of it is missed when the node stops.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
from typing import Any
from typing import TypeVar

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, eq=False)
class _Scope:
    """One call of `AbortController.run` or `AbortController.shield`.

    Attributes:
      task: The task that is in the scope.
      can_abort: Whether `abort` cancels the task.
      cancel_requests: The task's requests for cancellation before the scope.
      is_cancelled: Whether `abort` has cancelled the task.
    """

    task: asyncio.Task[Any]
    can_abort: bool
    cancel_requests: int
    is_cancelled: bool = False

    def abort(self) -> None:
        """Cancels the task once, if the scope allows it."""
        if self.can_abort and not self.is_cancelled:
            self.is_cancelled = True
            self.task.cancel()

    def uncancel(self) -> bool:
        """Withdraws the cancellation by `abort`, if there was one.

        Returns:
          Whether only `abort` cancelled the task: False if another
          cancellation is pending, as after a disconnect of the caller.
        """
        if not self.is_cancelled:
            return False
        return self.task.uncancel() <= self.cancel_requests


class AbortController:
    """Runs work for callers so that it can be aborted with a known result.

    Work may be nested within one task. An abort ends the innermost, which
    knows best what has been sent; the work around it goes on with that result.
    """

    def __init__(self) -> None:
        self._is_aborted = False
        # The innermost scope of each task.
        self._scopes: dict[asyncio.Task[Any], _Scope] = {}

    def abort_all(self) -> None:
        """Aborts all work; none is started from now on."""
        self._is_aborted = True
        for scope in list(self._scopes.values()):
            scope.abort()

    async def run(
        self,
        work: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
        abort_result: collections.abc.Callable[[], _T],
    ) -> _T:
        """Runs work until it ends or is aborted.

        Args:
          work: starts the work; not called if all work has already been
            aborted.
          abort_result: returns the result if the work is aborted; called after
            the work has ended.

        Returns:
          The result of the work, or that of the abort.

        Raises:
          asyncio.CancelledError: if the task was cancelled by anything else.
        """
        if self._is_aborted:
            return abort_result()
        with self._scope(can_abort=True) as scope:
            try:
                result = await work()
            except asyncio.CancelledError:
                if not scope.uncancel():
                    raise
                return abort_result()
            except BaseException:
                scope.uncancel()
                raise
            scope.uncancel()
            return result

    @contextlib.contextmanager
    def shield(self) -> collections.abc.Iterator[None]:
        """Excludes the current task from aborts.

        For waits for a task that is aborted itself: its result is known soon,
        and says more than that of an abort of the wait.
        """
        with self._scope(can_abort=False):
            yield

    @contextlib.contextmanager
    def _scope(self, *, can_abort: bool) -> collections.abc.Iterator[_Scope]:
        task = asyncio.current_task()
        assert task is not None
        outer = self._scopes.get(task)
        scope = _Scope(task, can_abort, task.cancelling())
        self._scopes[task] = scope
        try:
            yield scope
        finally:
            if outer is None:
                del self._scopes[task]
            else:
                self._scopes[task] = outer
