"""What a node reads of the configuration in the platform, and when."""

import collections.abc
import logging
import random

from endivewind import logs
from endivewind.config import settings
from endivewind.config import store
from endivewind.durable import watcher
from endivewind.nodes import configuration
from endivewind.platform import client
from endivewind.platform import configuration as operator_configuration
from endivewind.platform import messages
from endivewind.platform import names

log = logging.getLogger(__name__)


def kinds_of(interface: settings.Interface) -> tuple[str, ...]:
    """The kinds of objects that hold the configuration."""
    if interface is settings.Interface.PLATFORM:
        return (names.CONFIGURATION_KIND,)
    return store.KINDS


class ConfigurationReader:
    """Reads what no peer tells, and watches where it is this node's turn."""

    def __init__(
        self,
        config: collections.abc.Callable[[], settings.NodeSettings],
        platform: client.PlatformClient,
        peer: configuration.ConfigurationPeer,
        is_settled: collections.abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Builds a reader.

        Args:
          config: the settings in force.
          platform: where the configuration is.
          peer: takes what is read, and passes it on.
          is_settled: whether this node knows those that started before it, so
            that it can tell whether to watch.
          rng: spreads calls that are repeated.
        """
        self._config = config
        self._platform = platform
        self._peer = peer
        self._is_settled = is_settled
        self._rng = rng

    def watchers(self) -> list[watcher.Watcher]:
        """One for each kind of object."""
        return [self._watcher(kind) for kind in kinds_of(self._interface)]

    @property
    def _interface(self) -> settings.Interface:
        return self._config().interface

    def _watcher(self, kind: str) -> watcher.Watcher:
        seen, listed = self._peer.seen, self._peer.listed
        if kind == names.CONFIGURATION_KIND:
            seen, listed = self._operator_wrote, _not_by_listing
        return watcher.Watcher(
            self._platform, kind, seen, self._rng, listed, self._role
        )

    def _role(self) -> watcher.Role:
        """What this node has to read now."""
        if self._is_settled() and self._peer.is_watcher:
            return watcher.Role.ALWAYS
        if self._peer.lacks_peers:
            return watcher.Role.ONCE
        return watcher.Role.NOTHING

    def _operator_wrote(self, stored: messages.StoredObject) -> None:
        """Takes the configuration that the platform's operator has written."""
        if stored.name != names.CONFIGURATION_NAME or not stored.value:
            return
        defaults = self._config().defaults
        decoded = operator_configuration.decode(stored, defaults)
        if decoded.is_error():
            fields = logs.fields(revision=stored.version, problem=decoded.error)
            log.error("configuration that can't be read", extra=fields)
            return
        self._peer.seen(decoded.ok)
        # The first one is written some time after the nodes have started;
        # a listing without it says nothing.
        self._peer.listed(stored.kind)


def _not_by_listing(kind: str) -> None:
    """A listing alone does not make this kind whole."""
