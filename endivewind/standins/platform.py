"""In-memory stand-in for the platform's object API.

Tests, the soak and the benchmarks run it in place of the real platform.
"""

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

# Writes kept for watches; a watch from an older revision gets status 410.
MAX_LOG_ENTRIES = 10_000
# Objects in one page of a listing.
MAX_PAGE_OBJECTS = 500
# Longer than the timeout of any call.
SILENT_DURATION = datetime.timedelta(minutes=1)


class ObjectStore:
    """Versioned objects with conditional updates. Performs no I/O."""

    def __init__(self) -> None:
        self._revision = 0
        self._objects: dict[tuple[str, str], messages.StoredObject] = {}
        self._log: list[messages.StoredObject] = []
        self._compacted_revision = 0
        self._change_event = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    @property
    def change_event(self) -> asyncio.Event:
        """Event that is set at the next change of the store.

        Writes, restore and compact change it. Each change sets the event and
        replaces it by a new one for the following change.
        """
        return self._change_event

    def copy(self) -> "ObjectStore":
        """Returns a copy of the present state, for backups."""
        other = ObjectStore()
        other.restore(self)
        return other

    def restore(self, backup: "ObjectStore") -> None:
        """Restores the state of a copy and discards all writes since."""
        self._revision = backup._revision
        self._objects = dict(backup._objects)
        self._log = list(backup._log)
        self._compacted_revision = backup._compacted_revision
        self._notify_watchers()

    def compact(self, revision: int) -> None:
        """Discards the log of writes up to a revision."""
        self._compacted_revision = max(
            self._compacted_revision, min(revision, self._revision)
        )
        self._log = [
            item
            for item in self._log
            if item.version > self._compacted_revision
        ]
        self._notify_watchers()

    def has_history_since(self, revision: int) -> bool:
        """Whether the log has all writes after a revision."""
        return self._compacted_revision <= revision <= self._revision

    def get(self, kind: str, name: str) -> messages.StoredObject | None:
        """Returns the object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def select(self, kind: str) -> list[messages.StoredObject]:
        """Returns all objects of a kind."""
        return [item for item in self._objects.values() if item.kind == kind]

    def changes_since(
        self, kind: str, revision: int
    ) -> list[messages.StoredObject]:
        """Returns writes after a revision; a deletion has an empty value."""
        return [
            item
            for item in self._log
            if item.version > revision and item.kind == kind
        ]

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> messages.StoredObject | None:
        """Writes if the version is the expected one, else returns None."""
        if self._version(kind, name) != expected:
            return None
        stored = self._record(kind, name, value)
        self._objects[kind, name] = stored
        return stored

    def delete(
        self, kind: str, name: str, expected: int
    ) -> messages.StoredObject | None:
        """Deletes if the version is the expected one, else returns None."""
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
        if len(self._log) > MAX_LOG_ENTRIES:
            self.compact(self._log[-MAX_LOG_ENTRIES // 2].version)
        self._notify_watchers()
        return stored

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


class PlatformStandin:
    """Serves an ObjectStore over HTTP and injects faults.

    `PUT /standin/fault` sets the faults, `POST /standin/compact` discards the
    log of writes, `POST /standin/empty` discards the whole store, `POST
    /standin/backup` saves a copy of the state and `POST /standin/restore`
    restores it.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._faults = faults.FaultInjector()
        self._backup = store.copy()
        self._stale_store = self._backup

    @property
    def store(self) -> ObjectStore:
        """The store behind the API."""
        return self._store

    @property
    def call_counts(self) -> dict[str, int]:
        """Calls by method since the start."""
        return self._faults.call_counts

    def set_faults(self, *wanted: faults.Fault) -> None:
        """Replaces the active faults; without arguments, clears them."""
        self._faults.replace(faults.FaultList(faults=wanted))
        self._stale_store = self._store.copy()

    def make_application(self) -> web.Application:
        """Returns the application: the object API and the control paths."""
        app = web.Application(middlewares=[self._inject_faults])
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
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/standin/"):
            response: web.StreamResponse = await handler(request)
            return response
        now = asyncio.get_running_loop().time()
        hits = self._faults.faults_for(request.method, now)
        request["is_stale"] = faults.FaultMode.STALE in hits
        if faults.FaultMode.SILENT in hits:
            await asyncio.sleep(SILENT_DURATION.total_seconds())
            return _close_connection(request)
        refused = _unexecuted_response(request, hits)
        if refused is not None:
            return refused
        for mode in (faults.FaultMode.SLOW, faults.FaultMode.LATE):
            if mode in hits:
                await asyncio.sleep(hits[mode].delay_ms / 1000)
        full_response: web.Response = await handler(request)
        if (
            faults.FaultMode.ANSWER_LOST in hits
            or faults.FaultMode.LATE in hits
        ):
            return _close_connection(request)
        if faults.FaultMode.PARTIAL in hits:
            return await _send_half(request, full_response)
        return full_response

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
        return web.json_response(self.call_counts)

    async def _get(self, request: web.Request) -> web.Response:
        found = self._store.get(*_object_key(request))
        return _object_response(found) if found else web.Response(status=404)

    async def _list(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch(request)
        store = self._store
        if request["is_stale"] and "allow_stale" in request.query:
            store = self._stale_store
        after = request.query.get("after", "")
        found = sorted(
            (
                item
                for item in store.select(request.match_info["kind"])
                if item.name > after
            ),
            key=lambda item: item.name,
        )
        page = found[:MAX_PAGE_OBJECTS]
        return _json_response(
            {
                "items": [_encode(item) for item in page],
                "has_more": len(found) > len(page),
                "at_rev": store.revision,
            }
        )

    async def _create(self, request: web.Request) -> web.Response:
        submitted = await _read_object(request)
        if submitted is None:
            return web.Response(status=400)
        name = submitted["metadata"].get("name")
        if not isinstance(name, str) or not name:
            return web.Response(status=400)
        kind = request.match_info["kind"]
        stored = self._store.put(kind, name, submitted["spec"], 0)
        return (
            _object_response(stored) if stored else self._conflict(kind, name)
        )

    async def _put(self, request: web.Request) -> web.Response:
        kind, name = _object_key(request)
        submitted = await _read_object(request)
        if submitted is None:
            return web.Response(status=400)
        current = self._store.get(kind, name)
        if current is None:
            return web.Response(status=404)
        expected = submitted["metadata"].get("revision", current.version)
        if expected == current.version and submitted["spec"] == current.value:
            # An unchanged value makes no revision and no watch event.
            return _object_response(current)
        stored = self._store.put(kind, name, submitted["spec"], expected)
        return (
            _object_response(stored) if stored else self._conflict(kind, name)
        )

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _object_key(request)
        current = self._store.get(kind, name)
        if current is None:
            return web.Response(status=404)
        try:
            expected = int(request.query.get("revision", current.version))
        except ValueError:
            return web.Response(status=400)
        stored = self._store.delete(kind, name, expected)
        return (
            _object_response(current) if stored else self._conflict(kind, name)
        )

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
            if not store.has_history_since(revision):
                return web.Response(status=410)
            changed = store.change_event
            changes = store.changes_since(kind, revision)
            remaining_seconds = deadline - asyncio.get_running_loop().time()
            if changes or remaining_seconds <= 0:
                return _watch_response(store, changes)
            try:
                await asyncio.wait_for(changed.wait(), remaining_seconds)
            except TimeoutError:
                continue

    def _conflict(self, kind: str, name: str) -> web.Response:
        current = self._store.get(kind, name)
        return _json_response(_encode(current) if current else None, status=409)


def _unexecuted_response(
    request: web.Request, hits: dict[faults.FaultMode, faults.Fault]
) -> web.Response | None:
    """Returns the response of a call that is not executed, or None."""
    if faults.FaultMode.RATE_LIMIT in hits:
        return web.Response(status=429, headers={"Retry-After": "1"})
    if faults.FaultMode.ERROR in hits:
        return web.Response(status=500)
    if faults.FaultMode.BUSY in hits:
        return web.Response(status=503)
    if faults.FaultMode.OUTAGE in hits:
        return _close_connection(request)
    if faults.FaultMode.GARBAGE in hits:
        return web.Response(text="<html>", content_type="application/json")
    return None


def _close_connection(request: web.Request) -> web.Response:
    """Closes the connection instead of responding."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _send_half(
    request: web.Request, full_response: web.Response
) -> web.StreamResponse:
    """Sends the first half of a response and closes the connection."""
    body = full_response.body
    content = body if isinstance(body, bytes) else b""
    response = web.StreamResponse(status=full_response.status)
    response.content_length = len(content)
    await response.prepare(request)
    await response.write(content[: len(content) // 2])
    if request.transport is not None:
        request.transport.close()
    return response


def _watch_response(
    store: ObjectStore, changes: list[messages.StoredObject]
) -> web.Response:
    """Returns the response to a watch; a deletion has an empty value."""
    events = [
        {"object": _encode(item), "deleted": not item.value} for item in changes
    ]
    return _json_response({"events": events, "at_rev": store.revision})


def _object_key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


async def _read_object(request: web.Request) -> dict[str, Any] | None:
    """Returns the object in the body, or None if the body is no object."""
    try:
        submitted = await request.json()
    except ValueError:
        return None
    if not isinstance(submitted, dict):
        return None
    is_complete = isinstance(submitted.get("spec"), dict) and isinstance(
        submitted.get("metadata"), dict
    )
    return submitted if is_complete else None


def _object_response(stored: messages.StoredObject) -> web.Response:
    return _json_response(_encode(stored))


def _encode(stored: messages.StoredObject) -> dict[str, Any]:
    return wire.encode_object(stored.name, stored.value, stored.version)


def _json_response(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status, text=json.dumps(value), content_type="application/json"
    )
