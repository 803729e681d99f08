"""Workspaces of the current configuration, and authentication by API key.

The gateway looks up workspaces and quotas here, and authorization.py the
workspace that a caller's key belongs to.
"""

import collections.abc
from typing import TypeVar

from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import quotas

# Callers send their key as a bearer token in the Authorization header (RFC
# 6750). No other scheme is supported.
AUTH_SCHEME = "bearer"

_ValueT = TypeVar("_ValueT")


class Workspaces:
    """Finds workspaces by name or by API key.

    Combines those of all `objects.WorkspaceGroup` objects in the configuration.
    """

    def __init__(self, configuration: store.ConfigurationStore) -> None:
        self._configuration = configuration
        self._workspaces: dict[str, objects.Workspace] = {}
        self._workspace_by_digest: dict[str, str] = {}
        self._requires_keys = False
        self._sources: dict[store.Key, objects.WorkspaceGroup] = {}

    @property
    def requires_keys(self) -> bool:
        """Whether callers are authenticated by keys.

        This remains true after the last key is revoked; otherwise anyone could
        send requests without a key from then on.
        """
        return self._requires_keys

    def get(self, name: str) -> objects.Workspace | None:
        """Returns a workspace of the current configuration, or None."""
        return self._workspaces.get(name)

    def quota(self, name: str) -> quotas.Quota | None:
        """Returns a workspace's quota; None if it is unlimited."""
        config = self._workspaces.get(name)
        if config is None or not config.rate:
            return None
        return quotas.Quota(config.rate, config.burst)

    def names(self) -> list[str]:
        """Returns the names of all workspaces."""
        return list(self._workspaces)

    def authenticate(self, authorization: str) -> str:
        """Returns the workspace that a caller's API key belongs to.

        Args:
          authorization: the value of the Authorization header.

        Returns:
          The workspace's name; empty if the header is missing or malformed, or
          if the key is unknown.
        """
        scheme, _, key = authorization.strip().partition(" ")
        if scheme.lower() != AUTH_SCHEME:
            return ""
        return self._workspace_by_digest.get(
            caller_keys.digest(key.strip()), ""
        )

    def apply_object(self, kind: str, name: str) -> None:
        """Applies the workspaces and keys of a changed configuration object.

        Args:
          kind: the object's kind; objects without workspaces are ignored.
          name: the object's name.
        """
        source = store.Key(kind, name)
        config: objects.WorkspaceGroup | None = None
        if kind == store.WORKSPACE_SHARD:
            config = self._configuration.workspace_shard(name)
        elif kind == store.DOCUMENT:
            config = self._configuration.document(name)
        else:
            return
        previous = self._sources.pop(source, None)
        if config is not None:
            self._sources[source] = config
            self._workspaces.update(config.workspaces)
            self._workspace_by_digest.update(config.keys)
        if previous is not None:
            self._remove_dropped(previous, config or objects.WorkspaceGroup())
        self._requires_keys = bool(self._workspace_by_digest) or any(
            item.keyed for item in self._sources.values()
        )

    def _remove_dropped(
        self, previous: objects.WorkspaceGroup, current: objects.WorkspaceGroup
    ) -> None:
        """Removes what an object no longer has, unless another object has it.

        A workspace or key that moves between objects is in both of them if the
        new one is applied first.
        """
        sources = self._sources.values()
        _replace_entries(
            self._workspaces,
            previous.workspaces.keys() - current.workspaces.keys(),
            [item.workspaces for item in sources],
        )
        _replace_entries(
            self._workspace_by_digest,
            previous.keys.keys() - current.keys.keys(),
            [item.keys for item in sources],
        )


def _replace_entries(
    entries: dict[str, _ValueT],
    names: collections.abc.Set[str],
    sources: list[dict[str, _ValueT]],
) -> None:
    """Replaces entries by those of the last source that has them, if any."""
    for name in names:
        entries.pop(name, None)
        for source in sources:
            if name in source:
                entries[name] = source[name]
