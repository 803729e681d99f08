"""Runs a node in this process until it is signalled to shut down."""

import asyncio
import dataclasses
import logging
import random

from endivewind import clock as clocks
from endivewind import exceptions
from endivewind import logs
from endivewind import node
from endivewind.commands import cli
from endivewind.config import base
from endivewind.config import settings
from endivewind.config import settings_reloader

log = logging.getLogger(__name__)


async def run(path: str) -> int:
    """Runs a node with the settings in a file; returns the exit code.

    Raises:
      InvalidFileError: the settings are not valid.
      EndivewindError: the node can't listen at its addresses.
    """
    runner = NodeRunner(path)
    stop_requested = asyncio.create_task(cli.wait_for_stop_signal())
    reload_task = asyncio.create_task(runner.reload_settings())
    try:
        min_incarnation = 0
        while not stop_requested.done():
            min_incarnation = await runner.run_once(
                min_incarnation, stop_requested
            )
    finally:
        reload_task.cancel()
        stop_requested.cancel()
    log.info("stopped")
    return 0


class NodeRunner:
    """Runs the node of this process, one incarnation after the other."""

    def __init__(self, path: str) -> None:
        """Reads the settings.

        Raises:
          InvalidFileError: the settings are not valid.
        """
        # Before the settings are loaded, so that no later change is missed.
        self._reloader = settings_reloader.SettingsReloader(path, self._reload)
        loaded = base.load_file(path, settings.NodeSettings)
        if loaded.is_error():
            raise exceptions.InvalidFileError(loaded.error)
        self._settings = loaded.ok.model
        self._node: node.Node | None = None
        logs.configure(self._settings.log_level, never_block=True)

    async def reload_settings(self) -> None:
        """Reloads the settings when they change, until cancelled."""
        cli.add_hangup_handler(self._reloader.check_now)
        await self._reloader.run()

    def _reload(self, node_settings: settings.NodeSettings) -> None:
        self._settings = node_settings
        if self._node is not None:
            self._node.reload(node_settings)

    async def run_once(
        self, min_incarnation: int, stop_requested: asyncio.Task[None]
    ) -> int:
        """Runs the node until it has to stop or to start again.

        Args:
          min_incarnation: the lowest incarnation that it may have.
          stop_requested: ends when the process is to stop.

        Returns:
          The lowest incarnation that it may have at its next start.
        """
        running = await self._start(min_incarnation)
        outranked = asyncio.create_task(running.wait_until_outranked())
        await asyncio.wait(
            {stop_requested, outranked},
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._node = None
        await running.stop()
        if not outranked.done():
            outranked.cancel()
            return min_incarnation
        fields = logs.fields(incarnation=outranked.result())
        log.warning("an earlier process ranks higher", extra=fields)
        return outranked.result() + 1

    async def _start(self, min_incarnation: int) -> node.Node:
        """Starts the node with the present settings."""
        used_settings = self._settings
        running = node.Node.from_settings(
            used_settings,
            clocks.SystemClock(),
            random.Random(),
            min_incarnation,
        )
        try:
            addresses = await running.start()
        except OSError as error:
            raise exceptions.EndivewindError(
                f"can't listen: {error}"
            ) from error
        log.info(
            "listening", extra=logs.fields(**dataclasses.asdict(addresses))
        )
        self._node = running
        if self._settings is not used_settings:
            running.reload(self._settings)
        return running
