"""The workspaces in force, and whose key a caller shows."""

from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import quotas

# The one scheme of RFC 6750 by which callers send their key.
SCHEME = "bearer"


class Workspaces:
    """Finds a workspace by its name or by a key that it holds."""

    def __init__(self, configuration: store.ConfigurationStore) -> None:
        self._configuration = configuration
        self._workspaces: dict[str, objects.Workspace] = {}
        self._holders: dict[str, str] = {}
        self._has_keys = False
        self._sources: dict[store.Key, objects.Workspaces] = {}

    @property
    def have_keys(self) -> bool:
        """Whether callers are told apart by keys.

        Where the last key was taken away nobody may get in without one.
        """
        return self._has_keys

    def get(self, name: str) -> objects.Workspace | None:
        """A workspace in force."""
        return self._workspaces.get(name)

    def quota(self, name: str) -> quotas.Quota | None:
        """What a workspace may send; None where it has no limit."""
        found = self._workspaces.get(name)
        if found is None or not found.rate:
            return None
        return quotas.Quota(found.rate, found.burst)

    def named(self) -> list[str]:
        """The names of all workspaces in force."""
        return list(self._workspaces)

    def holder(self, authorization: str) -> str:
        """The workspace that holds the key of an Authorization header.

        Returns:
          Its name; empty where the header is missing, malformed, or has a key
          that no workspace holds.
        """
        scheme, _, key = authorization.strip().partition(" ")
        if scheme.lower() != SCHEME:
            return ""
        return self._holders.get(caller_keys.digest(key.strip()), "")

    def configure(self, kind: str, name: str) -> None:
        """Takes the workspaces of one object that has come into force."""
        source = store.Key(kind, name)
        found: objects.Workspaces | None = None
        if kind == store.WORKSPACE_SHARD:
            found = self._configuration.workspace_shard(name)
        elif kind == store.DOCUMENT:
            found = self._configuration.document(name)
        else:
            return
        before = self._sources.pop(source, None)
        if before is not None:
            self._forget(before)
        if found is not None:
            self._sources[source] = found
            self._workspaces.update(found.workspaces)
            self._holders.update(found.keys)
        self._has_keys = bool(self._holders) or any(
            item.keyed for item in self._sources.values()
        )

    def _forget(self, source: objects.Workspaces) -> None:
        for name in source.workspaces:
            self._workspaces.pop(name, None)
        for digest in source.keys:
            self._holders.pop(digest, None)
