"""A small deployment as processes, for the scripts of cases 6 to 10.

The instances are started with the command of the deploy file and settings like those of a small
deployment; the store is the project's stand-in, the searchers are those of `stand_in_2.py`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from tornado.testing import bind_unused_port

from standin.ports import allocate_address, allocate_port_range
from standin.store_model import StoreModel
from standin.store_server import create_store_server

ROOT = Path(__file__).resolve().parents[1]
HERE = Path(__file__).resolve().parent
MEMORY_MB = 300
RUN_SECONDS = 112.0
SEARCH_HOST, DESK_HOST = "search.example", "desk.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# Those of the example in DEPLOY.md that instances read, and of the sites with 8 machines.
BOUNDS = {
    "drain_ms": "3000",
    "grace_s": "6",
    "retry_budget_ratio": "0.2",
    "budget_window_s": "10",
    "retry_budget_slack": "56",
    "exposure_share": "0.1",
    "exposure_slack": "50",
    "warmup_headroom": "1.5",
    "warmup_slack": "5",
}


class Instance:
    """One instance: its addresses and its process."""

    def __init__(self, name: str, zone: str, control: str, seeds: list[str], store: str) -> None:
        self.name, self.zone = name, zone
        self.front, self.readiness = allocate_address(), allocate_address()
        fields = {
            "node_name": name,
            "role": "entry",
            "node_class": "front",
            "serves": "front,control_plane",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "here",
            "listen.front": self.front,
            "listen.readiness": self.readiness,
            "listen.control": control,
            "internal_port_range": allocate_port_range(2),
            "seed_addresses": ",".join(seeds),
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": str(MEMORY_MB),
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "platform.address": store,
        }
        fields |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        self.text = "".join(f"{key}={value}\n" for key, value in fields.items())
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        path = folder / f"{self.name}.conf"
        path.write_text(self.text)
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/start.py",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "MIMOSAHOIST_BOOT": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def status(self, name: str) -> int | None:
        """A figure of the kernel about the process, such as VmHWM in kB; None if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        lines = [line for line in text.splitlines() if line.startswith(name + ":")]
        return int(lines[0].split()[1]) if lines else None

    def processor_seconds(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def ready(self, timeout: float = 1.0) -> bool:
        """Ask as the platform does."""
        head = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        status, _, _ = await send(self.readiness, head, timeout)
        return status == 200


async def send(address: str, request: bytes, timeout: float) -> tuple[int, dict, bytes]:
    """Send a request on a new connection; status 0 if there is no complete answer in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin1").split("\r\n")
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            return int(first.split()[1]), headers, body
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Stage:
    """Store, searchers and instances; `record` collects the lines of record.txt."""

    def __init__(
        self,
        case: Path,
        instances: int = 4,
        shards: int = 10,
        zones: tuple[str, ...] = ("north", "south", "east"),
        work_ms: float = 15.0,
        desk_ms: float = 15.0,
        searcher_zones: tuple[str, ...] = (),
    ) -> None:
        self.case = case
        self.lines: list[str] = []
        self.shards = [f"shard-{number}" for number in range(shards)]
        self.zones, self.count = zones, instances
        self.searcher_zones = searcher_zones or zones[:3]
        self.work_ms, self.desk_ms = work_ms, desk_ms
        self.store = StoreModel()
        self.server = create_store_server(self.store)
        self.instances: list[Instance] = []
        self.searchers: asyncio.subprocess.Process | None = None
        self.started = time.monotonic()
        logging.getLogger("tornado").setLevel(logging.CRITICAL)

    def note(self, text: str) -> None:
        line = f"{time.monotonic() - self.started:7.2f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def list_requests(self, name: str, log: list[tuple[float, int]]) -> None:
        """Write each request of ordinary callers into the record: when it was sent, and its status."""
        for at, status in sorted(log):
            answered = f"answered {status}" if status else "not answered"
            self.lines.append(f"{at - self.started:7.2f} {name}: sent, {answered}")

    def list_runs(self, arrived: list[dict]) -> None:
        """Write what arrived and ran at searchers into the record, for each second and kind of caller."""
        counts: dict[tuple[int, str], list[int]] = {}
        for item in arrived:
            key = (int(item["at"] - self.started), item["id"][:1])
            count = counts.setdefault(key, [0, 0])
            count[0] += 1
            count[1] += "ran_at" in item
        for (second, kind), (came, ran) in sorted(counts.items()):
            self.lines.append(f"{second:7.2f} ids {kind}...: {came} arrived within a second, {ran} ran")

    async def __aenter__(self) -> Stage:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        sock, port = bind_unused_port()
        self.server.add_sockets([sock])
        try:
            await self.start(f"127.0.0.1:{port}")
        except BaseException:
            await self.end()
            raise
        return self

    async def start(self, store: str) -> None:
        plan = []
        for service in [*self.shards, "desk"]:
            for zone in self.searcher_zones:
                name = f"i-{service}-{zone}"
                address = allocate_address()
                work = self.desk_ms if service == "desk" else self.work_ms
                plan.append({"name": name, "service": service, "address": address, "work_ms": work})
                spec = {
                    "service": service,
                    "address": address,
                    "zone": zone,
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "warmup_left_ms": 0,
                    "sequence_number": 1,
                    "born": 1_700_000_000_000,
                }
                self.store.put("servers", name, spec)
        (self.path / "plan.json").write_text(json.dumps(plan))
        self.store.put("config", "main", self.configuration())
        record = self.path / "searchers.jsonl"
        self.searchers = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "stand_in_2.py"), str(self.path / "plan.json"), str(record)
        )
        ready = self.path / "searchers.jsonl.ready"
        while not ready.exists():
            await asyncio.sleep(0.05)
        controls = [allocate_address() for _ in range(self.count)]
        for number, control in enumerate(controls):
            zone = self.zones[number % len(self.zones)]
            self.instances.append(
                Instance(f"front-{zone}-{number}", zone, control, controls[:3], store)
            )
        for instance in self.instances:
            await instance.start(self.path)
        until = time.monotonic() + 25.0
        while not all([await instance.ready() for instance in self.instances]):
            if time.monotonic() > until:
                raise RuntimeError("the instances did not become ready")
            await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(4.0)
        self.note(f"{len(self.instances)} instances ready, {len(plan)} searchers")

    def configuration(self) -> dict:
        search = {
            "name": "r-search",
            "host": SEARCH_HOST,
            "path_prefix": "/find/",
            "route_type": "idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 180,
            "priority": 1,
            "fanout_services": self.shards,
            "max_attempts": 2,
            "result_limit": 10,
            "min_shard_share": 0.89,
        }
        desk = {
            "name": "r-desk",
            "host": DESK_HOST,
            "path_prefix": "/book/",
            "route_type": "non_idempotent",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": "desk",
            "max_attempts": 2,
        }
        services = [
            {"name": name, "health_path": "/health", "max_connections": 36, "warmup_per_s": 0.0}
            for name in [*self.shards, "desk"]
        ]
        return {"version": 7, "routes": [search, desk], "services": services, "limits": LIMITS}

    async def __aexit__(self, *_: object) -> None:
        await self.end()

    async def stop_searchers(self) -> list[dict]:
        """End the searchers; return what has arrived there."""
        if self.searchers is None or self.searchers.returncode is not None:
            return []
        self.searchers.send_signal(signal.SIGTERM)
        await self.searchers.wait()
        text = (self.path / "searchers.jsonl").read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def end(self) -> None:
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        if self.searchers is not None and self.searchers.returncode is None:
            self.searchers.kill()
            await self.searchers.wait()
        self.server.stop()
        await self.server.close_all_connections()
        self.folder.cleanup()


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main: object, case: Path) -> None:
    """Run a case's coroutine, which returns whether the rule held; exit with 2 if it could not run."""
    lines: list[str] = []

    async def bounded() -> bool:
        async with asyncio.timeout(RUN_SECONDS):
            return await main(lines)

    try:
        held = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001
        lines.append(f"could not run: {error!r}")
        print(lines[-1])
        held = None
    (case / "record.txt").write_text("\n".join(lines) + "\n")
    sys.exit(2 if held is None else 0 if held else 1)
