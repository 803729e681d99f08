"""Stand-in for the platform's object API, in memory."""

import asyncio
import datetime
import json
from typing import Any

from aiohttp import web
import pydantic

from endivewind.platform import messages
from endivewind.platform import names
from endivewind.platform import wire
from endivewind.standins import faults

# Writes that a watch can still be told of; an older revision answers 410.
LOG_LENGTH = 10_000
# Objects in one part of a listing.
PAGE_OBJECTS = 500
# Longer than any call waits.
SILENCE = datetime.timedelta(minutes=1)


class ObjectStore:
    """Objects with versions and conditional updates; no input or output."""

    def __init__(self) -> None:
        self._revision = 0
        self._objects: dict[tuple[str, str], messages.StoredObject] = {}
        self._log: list[messages.StoredObject] = []
        self._compacted = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next write; a new event follows each write."""
        return self._changed

    def copy(self) -> "ObjectStore":
        """The store as it is now, for backups."""
        other = ObjectStore()
        other.restore(self)
        return other

    def restore(self, backup: "ObjectStore") -> None:
        """Goes back to a copy; what was written since is lost."""
        self._revision = backup._revision
        self._objects = dict(backup._objects)
        self._log = list(backup._log)
        self._compacted = backup._compacted
        self._wake()

    def compact(self, revision: int) -> None:
        """Forgets the log of writes up to a revision."""
        self._compacted = max(self._compacted, min(revision, self._revision))
        self._log = [
            item for item in self._log if item.version > self._compacted
        ]
        self._wake()

    def knows(self, revision: int) -> bool:
        """Whether writes after a revision can be told in full."""
        return self._compacted <= revision <= self._revision

    def get(self, kind: str, name: str) -> messages.StoredObject | None:
        """The object, or None."""
        return self._objects.get((kind, name))

    def select(self, kind: str) -> list[messages.StoredObject]:
        """All objects of a kind."""
        return [item for item in self._objects.values() if item.kind == kind]

    def since(self, kind: str, revision: int) -> list[messages.StoredObject]:
        """Writes after a revision; a delete is an object with no value."""
        return [
            item
            for item in self._log
            if item.version > revision and item.kind == kind
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
        if len(self._log) > LOG_LENGTH:
            self.compact(self._log[-LOG_LENGTH // 2].version)
        self._wake()
        return stored

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PlatformStandin:
    """Serves an ObjectStore over HTTP, with faults on demand.

    `PUT /standin/fault` sets faults, `POST /standin/compact` forgets the log,
    `POST /standin/empty` loses the whole store, `POST /standin/backup` and
    `POST /standin/restore` go back to an older state.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._faults = faults.Faults()
        self._backup = store.copy()
        self._behind = self._backup

    @property
    def store(self) -> ObjectStore:
        """The store behind the API."""
        return self._store

    @property
    def calls(self) -> dict[str, int]:
        """Calls by method since the start."""
        return self._faults.counted

    def set_faults(self, *wanted: faults.Fault) -> None:
        """Switches faults on in place of those before; none clears them."""
        self._faults.set(faults.FaultList(faults=wanted))
        self._behind = self._store.copy()

    def application(self) -> web.Application:
        """The routes of the object API and of the control path."""
        app = web.Application(middlewares=[self._faulty])
        app.router.add_get(names.OBJECTS_PATH, self._list)
        app.router.add_post(names.OBJECTS_PATH, self._create)
        app.router.add_get(names.OBJECT_PATH, self._get)
        app.router.add_put(names.OBJECT_PATH, self._put)
        app.router.add_delete(names.OBJECT_PATH, self._delete)
        app.router.add_put("/standin/fault", self._set_fault)
        app.router.add_post("/standin/{action}", self._control)
        app.router.add_get("/standin/calls", self._calls)
        return app

    @web.middleware
    async def _faulty(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/standin/"):
            response: web.StreamResponse = await handler(request)
            return response
        now = asyncio.get_running_loop().time()
        hits = self._faults.hits(request.method, now)
        request["is_stale"] = faults.Mode.STALE in hits
        if faults.Mode.SILENT in hits:
            await asyncio.sleep(SILENCE.total_seconds())
            return _cut(request)
        refused = _refused(request, hits)
        if refused is not None:
            return refused
        for mode in (faults.Mode.SLOW, faults.Mode.LATE):
            if mode in hits:
                await asyncio.sleep(hits[mode].delay_ms / 1000)
        answer: web.Response = await handler(request)
        if faults.Mode.ANSWER_LOST in hits or faults.Mode.LATE in hits:
            return _cut(request)
        if faults.Mode.PARTIAL in hits:
            return await _half(request, answer)
        return answer

    async def _set_fault(self, request: web.Request) -> web.Response:
        try:
            wanted = faults.FaultList.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            return web.Response(status=400, text=str(error))
        self.set_faults(*wanted.faults)
        return web.Response(status=204)

    async def _control(self, request: web.Request) -> web.Response:
        match request.match_info["action"]:
            case "compact":
                self._store.compact(self._store.revision)
            case "empty":
                self._store.restore(ObjectStore())
            case "backup":
                self._backup = self._store.copy()
            case "restore":
                self._store.restore(self._backup)
            case _:
                return web.Response(status=404)
        return web.Response(status=204)

    async def _calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls)

    async def _get(self, request: web.Request) -> web.Response:
        found = self._store.get(*_key(request))
        return _object(found) if found else web.Response(status=404)

    async def _list(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch(request)
        store = self._store
        if request["is_stale"] and "allow_stale" in request.query:
            store = self._behind
        after = request.query.get("after", "")
        found = sorted(
            (
                item
                for item in store.select(request.match_info["kind"])
                if item.name > after
            ),
            key=lambda item: item.name,
        )
        page = found[:PAGE_OBJECTS]
        return _json(
            {
                "items": [_wire(item) for item in page],
                "has_more": len(found) > len(page),
                "at_rev": store.revision,
            }
        )

    async def _create(self, request: web.Request) -> web.Response:
        given = await _object_of(request)
        if given is None:
            return web.Response(status=400)
        name = given["metadata"].get("name")
        if not isinstance(name, str) or not name:
            return web.Response(status=400)
        kind = request.match_info["kind"]
        stored = self._store.put(kind, name, given["spec"], 0)
        return _object(stored) if stored else self._conflict(kind, name)

    async def _put(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        given = await _object_of(request)
        if given is None:
            return web.Response(status=400)
        current = self._store.get(kind, name)
        if current is None:
            return web.Response(status=404)
        expected = given["metadata"].get("revision", current.version)
        if expected == current.version and given["spec"] == current.value:
            # Nothing changes, so nobody who watches hears of it.
            return _object(current)
        stored = self._store.put(kind, name, given["spec"], expected)
        return _object(stored) if stored else self._conflict(kind, name)

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        current = self._store.get(kind, name)
        if current is None:
            return web.Response(status=404)
        try:
            expected = int(request.query.get("revision", current.version))
        except ValueError:
            return web.Response(status=400)
        stored = self._store.delete(kind, name, expected)
        return _object(current) if stored else self._conflict(kind, name)

    async def _watch(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        store = self._store
        try:
            revision = int(request.query["watch"])
            wait = int(request.query.get("wait_ms", "0")) / 1000
        except ValueError:
            return web.Response(status=400)
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if not store.knows(revision):
                return web.Response(status=410)
            changed = store.changed
            changes = store.since(kind, revision)
            left = deadline - asyncio.get_running_loop().time()
            if changes or left <= 0:
                return _events(store, changes)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _conflict(self, kind: str, name: str) -> web.Response:
        current = self._store.get(kind, name)
        return _json(_wire(current) if current else None, status=409)


def _refused(
    request: web.Request, hits: dict[faults.Mode, faults.Fault]
) -> web.Response | None:
    """The answer of a call that is not done at all, or None."""
    if faults.Mode.RATE_LIMIT in hits:
        return web.Response(status=429, headers={"Retry-After": "1"})
    if faults.Mode.ERROR in hits:
        return web.Response(status=500)
    if faults.Mode.BUSY in hits:
        return web.Response(status=503)
    if faults.Mode.OUTAGE in hits:
        return _cut(request)
    if faults.Mode.GARBAGE in hits:
        return web.Response(text="<html>", content_type="application/json")
    return None


def _cut(request: web.Request) -> web.Response:
    """Closes the connection in place of an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _half(
    request: web.Request, answer: web.Response
) -> web.StreamResponse:
    """Sends the first half of an answer and closes the connection."""
    body = answer.body
    whole = body if isinstance(body, bytes) else b""
    response = web.StreamResponse(status=answer.status)
    response.content_length = len(whole)
    await response.prepare(request)
    await response.write(whole[: len(whole) // 2])
    if request.transport is not None:
        request.transport.close()
    return response


def _events(
    store: ObjectStore, changes: list[messages.StoredObject]
) -> web.Response:
    """What a watch tells; a removal is logged as an object with no value."""
    events = [
        {"object": _wire(item), "deleted": not item.value} for item in changes
    ]
    return _json({"events": events, "at_rev": store.revision})


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


async def _object_of(request: web.Request) -> dict[str, Any] | None:
    """The object that a call carries; None if it is none."""
    try:
        given = await request.json()
    except ValueError:
        return None
    if not isinstance(given, dict):
        return None
    whole = isinstance(given.get("spec"), dict) and isinstance(
        given.get("metadata"), dict
    )
    return given if whole else None


def _object(stored: messages.StoredObject) -> web.Response:
    return _json(_wire(stored))


def _wire(stored: messages.StoredObject) -> dict[str, Any]:
    return wire.object_out(stored.name, stored.value, stored.version)


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status, text=json.dumps(value), content_type="application/json"
    )
