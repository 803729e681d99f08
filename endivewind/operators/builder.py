"""Builds a configuration in an operator's program and prints it as YAML."""

import collections.abc
import datetime
import sys
from typing import TypeVar

import pydantic
import yaml

from endivewind import exceptions
from endivewind.config import base
from endivewind.config import caller_keys
from endivewind.config import objects

ModelT = TypeVar("ModelT", bound=base.Model)

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SOURCE = "<builder>"


class Firm:
    """Builds one firm's part of the configuration.

    The part consists of services, routes and workspaces.

    The firm's routes become one object of the platform and its workspaces
    another, so that firms that submit at the same time do not conflict.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._services: dict[str, objects.Service] = {}
        self._routes: list[objects.Route] = []
        self._workspaces: dict[str, objects.Workspace] = {}
        self._keys: dict[str, str] = {}

    @property
    def name(self) -> str:
        """The firm's name."""
        return self._name

    def service(
        self,
        name: str,
        *,
        profile: objects.Profile,
        slots: int,
        targets_per_region: int,
        floor_targets: int,
        timeout: datetime.timedelta,
        queue_limit: int = 64,
        retry_percent: int = 10,
    ) -> str:
        """Adds a service of this firm.

        Args:
          name: the service's name.
          profile: whether ejections favor fast detection or capacity.
          slots: concurrent requests per target.
          targets_per_region: targets that a region should have.
          floor_targets: the capacity floor, in targets per region: ejections
            must leave at least the slots of this many targets in use.
          timeout: deadline of a request without a deadline of its own.
          queue_limit: requests that may wait for a slot at one entry node.
          retry_percent: retries allowed, as a share of recent requests.

        Returns:
          The name, for the service's routes.
        """
        if name in self._services:
            raise exceptions.UsageError(f"service {name!r} is defined twice")
        values = {
            "profile": profile,
            "slots": slots,
            "expected_targets": targets_per_region,
            "floor_slots": floor_targets * slots,
            "timeout_ms": timeout // _MILLISECOND,
            "queue_limit": queue_limit,
            "retry_percent": retry_percent,
        }
        self._services[name] = _validate(objects.Service, name, values)
        return name

    def route(
        self,
        service: str,
        *,
        host: str,
        prefix: str = "/",
        workspace: str = "",
        repeat: objects.RepeatPolicy = objects.RepeatPolicy.SAFE_METHODS,
        priority: objects.Priority = objects.Priority.NORMAL,
    ) -> None:
        """Adds a route from a host and path prefix to a service."""
        values = {
            "service": service,
            "host": host,
            "prefix": prefix,
            "workspace": workspace,
            "repeat": repeat,
            "priority": priority,
        }
        place = f"route {host}{prefix}"
        self._routes.append(_validate(objects.Route, place, values))

    def workspace(
        self,
        name: str,
        *,
        weight: int = 1,
        rate: float = 0,
        burst: int = 20,
        keys: collections.abc.Iterable[str] = (),
    ) -> str:
        """Adds a workspace of this firm, with its share and its limits.

        Args:
          name: the name; callers send it in the header Endivewind-Workspace
            if no workspace has a key.
          weight: share under saturation, relative to other workspaces.
          rate: requests per second over all nodes; 0 means no limit.
          burst: requests allowed at once above the rate.
          keys: the workspace's keys, as callers send them; only their digests
            are printed.

        Returns:
          The name, for routes of this workspace alone.
        """
        if name in self._workspaces:
            raise exceptions.UsageError(f"workspace {name!r} is defined twice")
        values = {
            "firm": self._name,
            "weight": weight,
            "rate": rate,
            "burst": burst,
        }
        self._workspaces[name] = _validate(objects.Workspace, name, values)
        for index, key in enumerate(keys):
            self._add_key(name, index, key)
        return name

    def _add_key(self, workspace: str, index: int, key: str) -> None:
        """Adds a key to a workspace; errors give its index, not the key."""
        checked = caller_keys.checked_digest(key)
        place = f"workspace {workspace!r}, key {index}"
        if checked.is_error():
            raise exceptions.UsageError(f"{place}: {checked.error}")
        known = self._keys.setdefault(checked.ok, workspace)
        if known != workspace:
            raise exceptions.UsageError(f"{place}: {known!r} has the same key")

    def configuration(self) -> objects.ConfigurationFile:
        """Returns the configuration, checked as by `endivewind validate`."""
        loaded = base.load_text(
            self._dump(), _SOURCE, objects.ConfigurationFile
        )
        if loaded.is_error():
            raise exceptions.InvalidFileError(loaded.error)
        return loaded.ok.model

    def to_yaml(self) -> str:
        """Returns the YAML that `endivewind submit -` reads.

        Raises:
          InvalidFileError: the configuration is invalid.
        """
        self.configuration()
        return self._dump()

    def print(self) -> None:
        """Prints the YAML; if it is invalid, prints the error and exits.

        The error is printed to stderr; it determines the exit code.
        """
        try:
            sys.stdout.write(self.to_yaml())
        except exceptions.EndivewindError as error:
            print(error, file=sys.stderr)
            sys.exit(error.exit_code)

    def _dump(self) -> str:
        configuration = objects.ConfigurationFile.model_construct(
            services=self._services,
            route_groups={
                self._name: objects.RouteGroup(routes=tuple(self._routes))
            },
            workspace_shards={
                self._name: objects.WorkspaceShard(
                    workspaces=self._workspaces, keys=self._keys
                )
            },
        )
        value = configuration.model_dump(mode="json", exclude_defaults=True)
        return yaml.safe_dump(value, sort_keys=False, allow_unicode=True)


def _validate(
    model: type[ModelT],
    place: str,
    values: collections.abc.Mapping[str, object],
) -> ModelT:
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        findings = base.to_findings(error, f"{_SOURCE} {place}", model)
        raise exceptions.InvalidFileError(findings) from error
