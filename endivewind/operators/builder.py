"""Builds a configuration in a program, typed, and prints it as YAML."""

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
    """One firm's part of the configuration: services, routes, workspaces.

    Its routes become one object of the platform and its workspaces another,
    so that firms that submit at the same time do not meet.
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
          profile: which error its ejections should rather make.
          slots: requests that one target takes at once.
          targets_per_region: targets that a region should have.
          floor_targets: targets' worth of slots per region that ejection may
            never go below.
          timeout: deadline of a request that brings none.
          queue_limit: requests that may wait for a slot at one entry.
          retry_percent: retries allowed, as a share of recent requests.

        Returns:
          The name, for the service's routes.
        """
        if name in self._services:
            raise exceptions.UsageError(f"service {name!r} is given twice")
        values = {
            "profile": profile,
            "slots": slots,
            "expected_targets": targets_per_region,
            "floor_slots": floor_targets * slots,
            "timeout_ms": timeout // _MILLISECOND,
            "queue_limit": queue_limit,
            "retry_percent": retry_percent,
        }
        self._services[name] = _checked(objects.Service, name, values)
        return name

    def route(
        self,
        service: str,
        *,
        host: str,
        prefix: str = "/",
        workspace: str = "",
        repeat: objects.Repeat = objects.Repeat.SAFE_METHODS,
        priority: objects.Priority = objects.Priority.NORMAL,
    ) -> None:
        """Adds a way from a host and path prefix to a service."""
        values = {
            "service": service,
            "host": host,
            "prefix": prefix,
            "workspace": workspace,
            "repeat": repeat,
            "priority": priority,
        }
        where = f"route {host}{prefix}"
        self._routes.append(_checked(objects.Route, where, values))

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
          name: as callers name it in the header Endivewind-Workspace, where
            no workspace has a key.
          weight: share under saturation, relative to other workspaces.
          rate: requests a second over all nodes together; 0 is no limit.
          burst: requests that may come at once above the rate.
          keys: those that it holds, as callers send them; only their digests
            are printed.

        Returns:
          The name, for routes of this workspace alone.
        """
        if name in self._workspaces:
            raise exceptions.UsageError(f"workspace {name!r} is given twice")
        values = {
            "firm": self._name,
            "weight": weight,
            "rate": rate,
            "burst": burst,
        }
        self._workspaces[name] = _checked(objects.Workspace, name, values)
        for index, key in enumerate(keys):
            self._hold(name, index, key)
        return name

    def _hold(self, workspace: str, index: int, key: str) -> None:
        """Gives a key to a workspace; its place names it in an error."""
        checked = caller_keys.checked_digest(key)
        place = f"workspace {workspace!r}, key {index}"
        if checked.is_error():
            raise exceptions.UsageError(f"{place}: {checked.error}")
        known = self._keys.setdefault(checked.ok, workspace)
        if known != workspace:
            raise exceptions.UsageError(f"{place}: {known!r} holds it as well")

    def configuration(self) -> objects.Configuration:
        """The whole, checked as `endivewind validate` checks a file."""
        loaded = base.load_text(self._text(), _SOURCE, objects.Configuration)
        if loaded.is_error():
            raise exceptions.InvalidFileError(loaded.error)
        return loaded.ok.model

    def to_yaml(self) -> str:
        """The YAML that `endivewind submit -` takes; raises on findings."""
        self.configuration()
        return self._text()

    def print(self) -> None:
        """Prints the YAML, or the findings and exits with their code."""
        try:
            sys.stdout.write(self.to_yaml())
        except exceptions.EndivewindError as error:
            print(error, file=sys.stderr)
            sys.exit(error.exit_code)

    def _text(self) -> str:
        whole = objects.Configuration.model_construct(
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
        value = whole.model_dump(mode="json", exclude_defaults=True)
        return yaml.safe_dump(value, sort_keys=False, allow_unicode=True)


def _checked(
    model: type[ModelT],
    where: str,
    values: collections.abc.Mapping[str, object],
) -> ModelT:
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        found = base.findings_of(error, f"{_SOURCE} {where}", model)
        raise exceptions.InvalidFileError(found) from error
