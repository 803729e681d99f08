"""Fuzzes external input, which must give findings and no traceback."""

import asyncio
import contextlib
import io
import json
import unittest
import unittest.mock

from absl import flags
from absl.testing import flagsaver
from aiohttp import test_utils
import hypothesis
from hypothesis import strategies as st
import yaml

from endivewind import clock as clocks
from endivewind.commands import main
from endivewind.commands import validate
from endivewind.config import base
from endivewind.config import objects
from endivewind.config import settings
from endivewind.targets import api
from endivewind.targets import registration
from endivewind.targets import registry

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
_MODELS = (objects.ConfigurationFile, settings.NodeSettings)
_KEYS = sorted(
    {
        key
        for model in (
            *_MODELS,
            objects.Service,
            objects.Route,
            objects.RouteGroup,
            objects.Workspace,
            settings.Limits,
            settings.Tls,
            registry.Announcement,
        )
        for key in model.model_fields
    }
)
_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["riders", "/riders", "*", "detection", "127.0.0.1:1"])
    | st.dates()
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(_KEYS) | st.text(max_size=4) | st.integers(),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
_VALID_CONFIGURATION = """\
services:
  riders: &r {slots: 3, floor_slots: 6, profile: capacity}
  venues: {<<: *r, timeout_ms: 100}
route_groups:
  camerino:
    routes:
      - {service: riders, prefix: /riders, repeat: never}
workspace_shards:
  one: {workspaces: {crew: {firm: camerino, rate: 1.5}}}
"""


class LoaderFuzzTest(unittest.TestCase):
    """Any file is loaded or gives findings that have a message."""

    def _check(self, raw: bytes):
        for model in _MODELS:
            loaded = base.load_bytes(raw, "f.yaml", model)
            found = loaded.ok.warnings if loaded.is_ok() else loaded.error
            self.assertTrue(loaded.is_ok() or found)
            for item in found:
                self.assertTrue(item.message)
                json.dumps(item.as_json())

    @_SETTINGS
    @hypothesis.given(st.binary(max_size=60) | st.text(max_size=60))
    def test_any_bytes(self, raw):
        self._check(raw if isinstance(raw, bytes) else raw.encode("utf-16"))

    @_SETTINGS
    @hypothesis.given(_VALUES)
    def test_any_yaml(self, value):
        self._check(yaml.safe_dump(value).encode())

    @_SETTINGS
    @hypothesis.given(
        st.integers(0, len(_VALID_CONFIGURATION)),
        st.integers(0, 12),
        st.text(alphabet="{}[]:&*<-!|>'\"#%@`,? \n\tab01\x00é", max_size=4),
    )
    def test_valid_file_with_one_edit(self, start, cut, put):
        self._check(
            (
                _VALID_CONFIGURATION[:start]
                + put
                + _VALID_CONFIGURATION[start + cut :]
            ).encode()
        )


class AnnouncementFuzzTest(unittest.TestCase):
    """Any announcement is accepted or gets a response with findings."""

    def setUp(self):
        self._loop = asyncio.new_event_loop()
        self.addCleanup(self._loop.close)
        home = registry.HomeIdentity("node-a", 1, "andina", "andina-a")
        targets = registry.TargetRegistry(home, clocks.ManualClock())
        registered = registration.Registration(
            targets, lambda service: 3, lambda: None
        )
        target_api = api.TargetApi(registered)
        self._client = test_utils.TestClient(
            test_utils.TestServer(target_api.application()), loop=self._loop
        )
        self._loop.run_until_complete(self._client.start_server())
        self.addCleanup(self._run, self._client.close)

    def _run(self, work, *arguments, **keywords):
        return self._loop.run_until_complete(work(*arguments, **keywords))

    def _put(self, target: str, body: bytes):
        async def send() -> tuple[int, bytes]:
            path = f"/v1/targets/{target}"
            async with self._client.put(path, data=body) as response:
                return response.status, await response.read()

        return self._run(send)

    def _check(self, body: bytes):
        status, response_text = self._put("riders-1", body)
        self.assertIn(status, (200, 400, 409))
        if status == 400:
            self.assertTrue(json.loads(response_text)["findings"])

    @_SETTINGS
    @hypothesis.given(st.binary(max_size=60))
    def test_any_bytes(self, body):
        self._check(body)

    @_SETTINGS
    @hypothesis.given(
        st.dictionaries(
            st.sampled_from(sorted(registry.Announcement.model_fields)),
            _SCALARS.filter(lambda value: not hasattr(value, "isoformat")),
        )
    )
    def test_any_announcement(self, value):
        whole = {"service": "riders", "address": "http://127.0.0.1:1"}
        self._check(json.dumps({**whole, **value}).encode())


class FlagsFuzzTest(unittest.TestCase):
    """Any arguments of a command give an exit code and no traceback."""

    @_SETTINGS
    @hypothesis.given(
        st.lists(
            st.text(max_size=8)
            | st.sampled_from(
                ["--format", "--format=json", "--kind=settings", "--strict=x"]
                + ["--help", "-", "--", "--flagfile=/nowhere", "--undefok=a"]
            ),
            max_size=4,
        )
    )
    def test_any_arguments_of_validate(self, arguments):
        self.assertTrue(validate.USAGE)
        saved = flagsaver.save_flag_values(flags.FLAGS)
        out = io.StringIO()
        stdin = io.TextIOWrapper(io.BytesIO(b"services: []\n"))
        try:
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(out),
                unittest.mock.patch("sys.stdin", stdin),
            ):
                code = main.BINARY.main(["validate", *arguments])
        finally:
            flagsaver.restore_flag_values(saved, flags.FLAGS)

        self.assertIn(code, (0, 2))
        self.assertTrue(out.getvalue())
