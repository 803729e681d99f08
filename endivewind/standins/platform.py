"""Stand-in for the platform's object API, in memory."""

import asyncio
import json
from typing import Any

from aiohttp import web

from endivewind.platform import messages


class ObjectStore:
    """Objects with versions and conditional updates; no input or output."""

    def __init__(self) -> None:
        self._revision = 0
        self._objects: dict[tuple[str, str], messages.StoredObject] = {}
        self._log: list[messages.StoredObject] = []
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next write; a new event follows each write."""
        return self._changed

    def get(self, kind: str, name: str) -> messages.StoredObject | None:
        """The object, or None."""
        return self._objects.get((kind, name))

    def select(self, kinds: set[str]) -> list[messages.StoredObject]:
        """All objects of the kinds."""
        return [item for item in self._objects.values() if item.kind in kinds]

    def since(
        self, kinds: set[str], revision: int
    ) -> list[messages.StoredObject]:
        """Writes after a revision; a delete is an object with no value."""
        return [
            item
            for item in self._log
            if item.version > revision and item.kind in kinds
        ]

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> messages.StoredObject | None:
        """Writes if the version is the expected one; else returns None."""
        if self._version(kind, name) != expected:
            return None
        stored = self._record(kind, name, value)
        self._objects[kind, name] = stored
        return stored

    def delete(
        self, kind: str, name: str, expected: int
    ) -> messages.StoredObject | None:
        """Deletes if the version is the expected one; else returns None."""
        if self._version(kind, name) != expected or not expected:
            return None
        del self._objects[kind, name]
        return self._record(kind, name, {})

    def _version(self, kind: str, name: str) -> int:
        current = self._objects.get((kind, name))
        return current.version if current else 0

    def _record(
        self, kind: str, name: str, value: dict[str, Any]
    ) -> messages.StoredObject:
        self._revision += 1
        stored = messages.StoredObject(
            kind=kind, name=name, version=self._revision, value=value
        )
        self._log.append(stored)
        self._changed.set()
        self._changed = asyncio.Event()
        return stored


class PlatformStandin:
    """Serves an ObjectStore over HTTP."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    @property
    def store(self) -> ObjectStore:
        """The store behind the API."""
        return self._store

    def application(self) -> web.Application:
        """The routes of the object API."""
        app = web.Application()
        app.router.add_get("/v1/objects", self._list)
        app.router.add_get("/v1/objects/{kind}/{name}", self._get)
        app.router.add_put("/v1/objects/{kind}/{name}", self._put)
        app.router.add_delete("/v1/objects/{kind}/{name}", self._delete)
        app.router.add_get("/v1/watch", self._watch)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        found = self._store.get(*_key(request))
        return _object(found) if found else web.Response(status=404)

    async def _list(self, request: web.Request) -> web.Response:
        objects = self._store.select(_kinds(request))
        return self._listing(objects)

    async def _put(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        try:
            value = await request.json()
            expected = int(request.headers["If-Match"])
        except (KeyError, ValueError):
            return web.Response(status=400)
        stored = self._store.put(kind, name, value, expected)
        return _object(stored) if stored else self._conflict(kind, name)

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        try:
            expected = int(request.headers["If-Match"])
        except (KeyError, ValueError):
            return web.Response(status=400)
        stored = self._store.delete(kind, name, expected)
        return _object(stored) if stored else self._conflict(kind, name)

    async def _watch(self, request: web.Request) -> web.Response:
        kinds = _kinds(request)
        revision = int(request.query.get("revision", "0"))
        wait = int(request.query.get("wait_ms", "0")) / 1000
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            changed = self._store.changed
            objects = self._store.since(kinds, revision)
            left = deadline - asyncio.get_running_loop().time()
            if objects or left <= 0:
                return self._listing(objects)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _conflict(self, kind: str, name: str) -> web.Response:
        current = self._store.get(kind, name)
        text = current.model_dump_json() if current else json.dumps(None)
        return web.Response(
            status=409, text=text, content_type="application/json"
        )

    def _listing(self, objects: list[messages.StoredObject]) -> web.Response:
        listing = messages.Listing(
            revision=self._store.revision, objects=tuple(objects)
        )
        return web.Response(
            text=listing.model_dump_json(), content_type="application/json"
        )


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _kinds(request: web.Request) -> set[str]:
    return set(request.query.get("kinds", "").split(","))


def _object(stored: messages.StoredObject) -> web.Response:
    return web.Response(
        text=stored.model_dump_json(), content_type="application/json"
    )
