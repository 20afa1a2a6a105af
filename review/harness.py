"""Small deployment on loopback for the cases: stand-ins in this process, instances as the deploy file starts them.

The store is the project's own stand-in. Searchers and clients are written here, on plain asyncio, to control and
record each byte that they send. `TROUBLE=0` in the environment leaves out a case's disruption.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import os
import shlex
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from standin.ports import allocate_address, allocate_port_range
from standin.store_model import StoreModel
from standin.store_server import create_store_server
from tornado.testing import bind_unused_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
HOST = "desk.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 25.0

# The bounds of bothy-search, as DEPLOY.md spells them.
BOUNDS = {
    "seed_lag_s": "3",
    "address_reuse_s": "2",
    "contact_ms": "4000",
    "ack_ms": "5000",
    "catch_up_s": "4",
    "drain_ms": "3000",
    "grace_s": "6",
    "loss_slack_ms": "200",
    "config_apply_ms": "3000",
    "rollback_slack_ms": "250",
    "max_skew_ms": "12000",
    "retry_budget_ratio": "0.2",
    "budget_window_s": "10",
    "retry_budget_slack": "56",
    "exposure_share": "0.1",
    "exposure_slack": "50",
    "rollback_ms": "5000",
    "warmup_headroom": "1.5",
    "warmup_slack": "5",
    "evacuation_ms": "5000",
    "recovery_s": "12",
}


def has_trouble() -> bool:
    """Whether the case's disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt, each with the seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.started:8.3f} {text}")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Request(NamedTuple):
    """A request as a stand-in read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """Response of a searcher; `load` replaces the value of Server-Load."""

    status: int
    headers: dict[str, str]
    body: bytes = b""
    load: bytes | None = None


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a start line, headers (names in lower case) and a body with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    start, _, rest = head.partition("\r\n")
    headers = {}
    for line in rest.split("\r\n"):
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return start, headers, await reader.readexactly(int(headers.get("content-length", "0")))


@dataclass
class Run:
    """A request that a searcher began to work on."""

    attempt: str
    at: float
    path: str
    status: int = 0


@dataclass
class Searcher:
    """One searcher: slots, a short queue, Target-Instance, health answers and Server-Load."""

    name: str
    service: str
    zone: str
    record: Record
    version: str = "v1"
    slots: int = 4
    queue: int = 24
    work_seconds: float = 0.02
    warm_until: float = 0.0
    handler: Callable[[Searcher, Request], Awaitable[Reply]] | None = None
    arrival_listener: Callable[[Searcher, Request], None] | None = None
    runs: list[Run] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    address: str = ""
    running: int = 0
    waiting: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, at the address of before if there was one."""
        self.free = asyncio.Semaphore(self.slots)
        self.writers: set[asyncio.StreamWriter] = set()
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def crash(self) -> None:
        """Stop at once: no listener, and all connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, path, _ = start.split(" ", 2)
                reply = await self.answer(Request(method, path, headers, body))
                writer.write(self.encode(reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Request) -> Reply:
        """Check the target, answer health checks, and queue other requests for a slot."""
        if request.headers.get("target-instance", self.name) != self.name:
            return Reply(421, {"Instance-Id": self.name})
        attempt = request.headers.get("attempt-id", "")
        if request.path == "/health":
            headers = {"Instance-Id": self.name}
            left = self.warm_until - time.monotonic()
            if left > 0:
                headers["Warmup-Ms"] = str(int(left * 1000))
            return Reply(200, headers)
        if not attempt:
            return Reply(400, {"Not-Executed": "1"})
        self.arrivals.append(time.monotonic())
        if self.arrival_listener is not None:
            self.arrival_listener(self, request)
        if self.waiting >= self.queue:
            return Reply(503, {"Attempt-Id": attempt, "Not-Executed": "1"})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                run = Run(attempt, time.monotonic(), request.path)
                self.runs.append(run)
                reply = await (self.handler or work)(self, request)
                run.status = reply.status
                self.record.add(f"ran {attempt} {request.path} at {self.name}: {reply.status}")
                return reply
            finally:
                self.running -= 1

    def encode(self, reply: Reply) -> bytes:
        """Encode a response."""
        load = reply.load
        if load is None:
            load = f"{self.running},{self.waiting},{self.slots}".encode()
        lines = [f"HTTP/1.1 {reply.status} x".encode()]
        lines += [f"{name}: {value}".encode() for name, value in reply.headers.items()]
        lines += [b"Server-Load: " + load, f"Content-Length: {len(reply.body)}".encode()]
        return b"\r\n".join(lines) + b"\r\n\r\n" + reply.body

    def stamped(self, attempt: str) -> dict[str, str]:
        """Headers of an answer that this searcher signs."""
        return {"Attempt-Id": attempt, "Response-Stamp": f"{self.name}.{attempt}"}


async def work(searcher: Searcher, request: Request) -> Reply:
    """Run a request in the usual time and succeed."""
    await asyncio.sleep(searcher.work_seconds)
    return Reply(200, searcher.stamped(request.headers["attempt-id"]), b"booked")


class Instance:
    """Process of one instance, started with the command of the deploy file."""

    def __init__(self, number: int, folder: Path, control: list[str], store: str) -> None:
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.front = allocate_address()
        self.readiness = allocate_address()
        self.control = control[number]
        self.settings = folder / f"{self.name}.conf"
        self.log_path = folder / f"{self.name}.log"
        fields = {
            "node_name": self.name,
            "role": "entry",
            "node_class": "front",
            "serves": "front,control_plane",
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "region",
            **{f"zones.{zone}": "region" for zone in ZONES},
            "listen.front": self.front,
            "listen.readiness": self.readiness,
            "listen.control": self.control,
            "internal_port_range": allocate_port_range(16),
            "seed_addresses": ",".join(control[:3]),
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "discovery": "platform",
            "heartbeat_ms": "1200",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": store,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
        }
        lines = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings.write_text(lines, encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Run the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    **kept,
                    "MIMOSAHOIST_BOOT": str(self.settings),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Ask the readiness address once."""
        host, _, port = self.readiness.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        """Wait until the instance says that it is ready."""
        until = time.monotonic() + READY_SECONDS
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} is not ready: {self.log()[-1500:]}")
            await asyncio.sleep(0.05)

    def log(self) -> str:
        """What the instance has logged."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer(NamedTuple):
    """What a client got for one attempt; status 0 stands for a closed connection or no answer."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent: float


class Deployment:
    """Store, searchers and instances of one case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = StoreModel()
        self.store_server = create_store_server(self.store)
        self.store_address = ""
        self.searchers: dict[str, Searcher] = {}
        self.instances: list[Instance] = []
        self.sequence = itertools.count(1)
        self.reports = itertools.count(1)

    async def start_store(self) -> None:
        """Start the store."""
        sock, port = bind_unused_port()
        self.store_server.add_sockets([sock])
        self.store_address = f"127.0.0.1:{port}"

    async def add_searcher(self, searcher: Searcher) -> Searcher:
        """Start a searcher and register it."""
        await searcher.start()
        self.searchers[searcher.name] = searcher
        self.register(searcher)
        return searcher

    def register(
        self, searcher: Searcher, state: str = "ready", warmup_ms: int = 0, restarted: bool = False
    ) -> None:
        """Write a searcher's entry; one that has restarted was born anew."""
        held = None if restarted else self.store.objects("servers").get(searcher.name)
        born = held["spec"]["born"] if held is not None else int(time.time() * 1000)
        spec = {
            "service": searcher.service,
            "address": searcher.address,
            "zone": searcher.zone,
            "version": searcher.version,
            "slots": searcher.slots,
            "state": state,
            "warmup_left_ms": warmup_ms,
            "sequence_number": next(self.reports),
            "born": born,
        }
        self.store.put("servers", searcher.name, spec)
        self.record.add(f"store acknowledged {searcher.name} {state} warmup_left_ms {warmup_ms}")

    def configure(
        self, version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write a configuration."""
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        spec = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.put("config", "main", spec)

    async def start_instances(self, count: int) -> None:
        """Start instances and wait until they are ready."""
        control = [allocate_address() for _ in range(count)]
        for number in range(count):
            self.instances.append(Instance(number, self.folder, control, self.store_address))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()
        self.record.say(f"{count} instances ready, {len(self.searchers)} searchers")

    async def attempt(
        self,
        instance: Instance,
        path: str,
        method: str = "GET",
        left_ms: int = 5000,
        body: bytes = b"",
    ) -> Answer:
        """Send one attempt of a client over a new connection, with an id of its own."""
        attempt = f"{next(self.sequence):016x}"
        sent = time.monotonic()
        try:
            async with asyncio.timeout(left_ms / 1000):
                status, headers, content = await self.exchange(
                    instance, attempt, path, method, left_ms, body
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            status, headers, content = 0, {}, b""
        self.record.add(f"{instance.name} answered {attempt} {method} {path}: {status}")
        return Answer(attempt, status, headers, content, sent)

    async def exchange(
        self, instance: Instance, attempt: str, path: str, method: str, left_ms: int, body: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and read the answer."""
        host, _, port = instance.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            head += f"Time-Remaining: {left_ms}\r\nSent-At: {time.monotonic()}\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            start, headers, content = await read_message(reader)
            return int(start.split(" ")[1]), headers, content
        finally:
            writer.close()

    def runs_of(self, attempt: str) -> list[Run]:
        """Runs of one attempt at all searchers."""
        found = self.searchers.values()
        return [run for searcher in found for run in searcher.runs if run.attempt == attempt]

    async def close(self) -> None:
        """End all processes and servers."""
        for instance in self.instances:
            await instance.end()
        for searcher in self.searchers.values():
            await searcher.crash()
        self.store_server.stop()
        await self.store_server.close_all_connections()


def plain_route(service: str, prefix: str, route_type: str, **changes: Any) -> dict[str, Any]:
    """A route to one service."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "path_prefix": prefix,
        "route_type": route_type,
        "service": service,
        "priority": 1,
        "max_attempts": 2,
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        **changes,
    }


async def run_case(case: Callable[[Deployment, Record], Awaitable[bool]], folder: Path) -> int:
    """Run a case; it returns whether the rule held."""
    record = Record(folder / "record.txt")
    record.say(f"TROUBLE={'1' if has_trouble() else '0'}")
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(record, Path(temporary))
        try:
            async with asyncio.timeout(110.0):
                await deployment.start_store()
                code = HELD if await case(deployment, record) else BROKEN
        except Exception as error:  # a case that could not run is no finding
            record.say(f"could not run: {error!r}")
        finally:
            await deployment.close()
            record.write()
    return code


def main(case: Callable[[Deployment, Record], Awaitable[bool]], file: str) -> None:
    """Run a case and exit with its code."""
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    sys.exit(asyncio.run(run_case(case, Path(file).resolve().parent)))
