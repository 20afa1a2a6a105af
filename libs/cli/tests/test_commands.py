from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import msgspec
from tornado.testing import bind_unused_port

from mimosahoist.cli import commands
from mimosahoist.cli.main import build_parser
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.lab.platform_server import create_platform_server

DECLARATIONS = """
[template.t]
parameters = []
preference = "tail"
[[template.t.services]]
name = "s"
kind = "search"
version = "v1"
slots = 4
connections = 35
connect_ms = 6
[organisation.acme]
template = "t"
callers = [{ name = "c", token_sha256 = "HASH", priority = 1 }]
[failure-domain.a]
out = false
""".replace(
    "HASH", "0" * 64
)


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.model = PlatformModel(1)
        self.server = create_platform_server(self.model)
        sock, port = bind_unused_port()
        self.server.add_socket(sock)
        self.url = f"http://127.0.0.1:{port}"
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = str(Path(directory.name) / "d.toml")
        Path(self.file).write_text(DECLARATIONS, encoding="utf-8")

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    async def call(self, *command_line: str) -> tuple[int, str, str]:
        output, error_output = io.StringIO(), io.StringIO()
        arguments = build_parser().parse_args(["--platform", self.url, *command_line])
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(error_output):
            code = await commands.run(arguments)
        return code, output.getvalue(), error_output.getvalue()

    async def test_plan_is_pending_until_applied(self) -> None:
        self.assertEqual((await self.call("plan", self.file))[0], commands.EXIT_PENDING)
        self.assertEqual((await self.call("apply", self.file))[0], commands.EXIT_OK)
        self.assertEqual((await self.call("plan", self.file))[0], commands.EXIT_OK)

    async def test_json_for_programs(self) -> None:
        _, output, _ = await self.call("--json", "apply", self.file)
        applied = msgspec.json.decode(output)
        self.assertEqual({item["action"] for item in applied}, {"create"})

    async def test_bad_declarations_exit_2_and_name_the_remedy(self) -> None:
        Path(self.file).write_text("[organisation.acme]\ncolour = 1\n", encoding="utf-8")
        code, _, error_output = await self.call("apply", self.file)
        self.assertEqual(code, commands.EXIT_USAGE)
        self.assertIn("colour", error_output)

    async def test_outage_exits_4(self) -> None:
        self.model.set_down(True)
        self.assertEqual((await self.call("plan", self.file))[0], commands.EXIT_STORE)

    async def test_drain_and_restore(self) -> None:
        await self.call("apply", self.file)
        for command, out in (("drain", True), ("restore", False)):
            self.assertEqual((await self.call(command, "a"))[0], commands.EXIT_OK)
            stored = self.model.collections["objects"].value("failure-domain/a")
            self.assertEqual(stored, {"name": "a", "out": out})
        self.assertEqual((await self.call("drain", "z"))[0], commands.EXIT_USAGE)

    async def test_move_is_stored_and_shown_as_waiting(self) -> None:
        await self.call("apply", self.file)
        await self.call("move", "acme", "s", "--to", "v2", "--within", "600")
        _, output, _ = await self.call("--json", "status")
        (move,) = msgspec.json.decode(output)["moves"]
        self.assertEqual((move["target"], move["phase"]), ("v2", "waiting"))

    async def test_instance_that_does_not_answer_is_unconfirmed(self) -> None:
        await self.call("apply", self.file)
        sock, port = bind_unused_port()
        sock.close()
        record = {
            "role": "entry",
            "failure_domain": "a",
            "state": "live",
            "admin_address": f"127.0.0.1:{port}",
        }
        self.model.list_instance("gone", record)
        code, output, _ = await self.call("--json", "status")
        self.assertEqual(code, commands.EXIT_PENDING)
        self.assertEqual(msgspec.json.decode(output)["instances"][0]["in_force"], "unconfirmed")
