"""Starts the stand-ins and entry instances of a deployment as child processes."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.process_usage import ProcessUsage, read_usage
from mimosahoist.peers.keys import create_cluster_keys
from mimosahoist.platform.http_store import HttpPlatformStore
from mimosahoist.platform.kinds import failure_domain_key, organisation_key

READY_SECONDS = 60.0
POLL_SECONDS = 0.1
STOP_SECONDS = 15.0


class Launcher:
    """Runs the processes of one deployment on the loopback interface.

    It stops only processes that it started itself, by their process ids.
    """

    def __init__(self, deployment: sizes.Deployment, base_port: int, seed: int) -> None:
        self.deployment = deployment
        self.base_port = base_port
        self.seed = seed
        self.work_dir = tempfile.TemporaryDirectory(prefix="mimosahoist-")
        self.keys = create_cluster_keys()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.specs = sizes.searcher_specs(deployment)
        self.client = CurlAsyncHTTPClient(max_clients=200, force_instance=True)

    @property
    def platform_url(self) -> str:
        """Return the base URL of the stand-in platform."""
        return f"http://127.0.0.1:{self.base_port}"

    def entry_address(self, number: int, offset: int = sizes.ENTRY_HTTP_OFFSET) -> str:
        """Return the address of one of an entry instance's servers, by its port offset."""
        return f"127.0.0.1:{self.base_port + offset + number}"

    def searcher_address(self, index: int) -> str:
        """Return the address of the searcher at an index of ``specs``."""
        return f"127.0.0.1:{self.base_port + sizes.SEARCHER_OFFSET + index}"

    async def start_stand_ins(self) -> None:
        """Start the platform and one process per failure domain that serves its searchers."""
        lab = [sys.executable, "-m", "mimosahoist.lab.main"]
        await self.spawn("platform", [*lab, "platform", "--port", str(self.base_port)])
        for domain in sizes.FAILURE_DOMAINS:
            await self.spawn(
                f"searchers-{domain}",
                [
                    *lab,
                    "searchers",
                    "--deployment",
                    self.deployment.organisation,
                    "--failure-domain",
                    domain,
                    "--base-port",
                    str(self.base_port),
                    "--seed",
                    str(self.seed),
                ],
            )
        await self.wait_until_reachable(f"{self.platform_url}/lab/calls")
        await asyncio.gather(
            *(
                self.wait_until_reachable(f"http://{self.searcher_address(index)}/lab/record")
                for index in range(len(self.specs))
            )
        )
        await self.list_searchers()

    async def list_searchers(self) -> None:
        """Add all searchers to the platform's instance list."""
        for index, spec in enumerate(self.specs):
            record = sizes.searcher_record(spec, self.searcher_address(index))
            await self.list_instance(spec.name, record)

    async def list_instance(self, name: str, record: dict[str, Any] | None) -> None:
        """Set an instance's record in the platform's list; None removes it."""
        body = {"name": name, "record": record}
        await self.post_json(f"{self.platform_url}/lab/instance", body)

    async def declare(self) -> None:
        """Store the organisation and failure domains as applying their declarations would."""
        store = HttpPlatformStore(self.platform_url)
        await store.start()
        value = sizes.organisation_object(self.deployment)
        await store.put(organisation_key(self.deployment.organisation), value, 0)
        for domain in sizes.FAILURE_DOMAINS:
            await store.put(failure_domain_key(domain), {"name": domain, "out": False}, 0)
        await store.close()

    async def start_entries(self, count: int = sizes.ENTRY_COUNT) -> None:
        """Start entry instances and wait until all of them are ready."""
        for number in range(count):
            await self.start_entry(number)
        await asyncio.gather(*(self.wait_ready(number) for number in range(count)))

    async def start_entry(self, number: int) -> None:
        """Add one entry instance to the platform's list and start it."""
        name = f"entry-{number}"
        path = Path(self.work_dir.name) / f"{name}.toml"
        path.write_text(self.entry_settings(number), encoding="utf-8")
        await self.list_instance(
            name,
            {
                "role": "entry",
                "failure_domain": sizes.FAILURE_DOMAINS[number % len(sizes.FAILURE_DOMAINS)],
                "address": self.entry_address(number),
                "admin_address": self.entry_address(number, sizes.ENTRY_ADMIN_OFFSET),
                "peer_address": self.entry_address(number, sizes.ENTRY_PEER_OFFSET),
                "state": "live",
            },
        )
        command = [sys.executable, "-m", "mimosahoist.entry.main", "--settings", str(path)]
        await self.spawn(name, command)

    def entry_settings(self, number: int) -> str:
        """Return the settings file of an entry instance."""
        domain = sizes.FAILURE_DOMAINS[number % len(sizes.FAILURE_DOMAINS)]
        return f"""
[instance]
name = "entry-{number}"
cluster = "{self.deployment.organisation}"
failure_domain = "{domain}"

[listen]
http = "{self.entry_address(number)}"
admin = "{self.entry_address(number, sizes.ENTRY_ADMIN_OFFSET)}"

[peers]
address = "{self.entry_address(number, sizes.ENTRY_PEER_OFFSET)}"
public_key = "{self.keys.public}"
secret_key = "{self.keys.secret}"
shares = {sizes.ENTRY_COUNT}

[platform]
url = "{self.platform_url}"
"""

    async def spawn(self, name: str, command: list[str]) -> None:
        """Start a process that logs to a file in the temporary directory."""
        log = Path(self.work_dir.name) / f"{name}.log"
        with log.open("ab") as output:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output
            )

    async def wait_ready(self, number: int) -> None:
        """Wait until an entry instance's health check succeeds."""
        await self.wait_until_reachable(f"http://{self.entry_address(number)}/health")

    async def wait_until_reachable(self, url: str) -> None:
        """Poll a URL until it returns a successful response."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_SECONDS
        while loop.time() < until:
            try:
                await self.client.fetch(HTTPRequest(url, request_timeout=2.0))
            except (HTTPClientError, OSError):
                await asyncio.sleep(POLL_SECONDS)
            else:
                return
        raise TimeoutError(
            f"{url} was not ready within {READY_SECONDS:.0f} s;"
            f" see the logs in {self.work_dir.name}"
        )

    async def get_json(self, url: str) -> Any:
        """Fetch a URL and decode its JSON body."""
        response = await self.client.fetch(HTTPRequest(url, request_timeout=10.0))
        return msgspec.json.decode(response.body)

    async def post_json(self, url: str, body: Any) -> Any:
        """Post a JSON body and decode the JSON response."""
        request = HTTPRequest(
            url, method="POST", body=msgspec.json.encode(body), request_timeout=10.0
        )
        response = await self.client.fetch(request)
        return msgspec.json.decode(response.body)

    async def set_faults(self, index: int, **faults: Any) -> None:
        """Set injected faults of one searcher."""
        await self.post_json(f"http://{self.searcher_address(index)}/lab/faults", faults)

    async def records(self) -> list[dict[str, Any]]:
        """Fetch the request records of all searchers."""
        return list(
            await asyncio.gather(
                *(
                    self.get_json(f"http://{self.searcher_address(index)}/lab/record")
                    for index in range(len(self.specs))
                )
            )
        )

    async def metrics(self, number: int) -> dict[str, float]:
        """Fetch the metrics of an entry instance, keyed by name without the prefix."""
        address = self.entry_address(number, sizes.ENTRY_ADMIN_OFFSET)
        response = await self.client.fetch(HTTPRequest(f"http://{address}/metrics"))
        values = {}
        for line in response.body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            values[name.removeprefix("mimosahoist_")] = float(value)
        return values

    def usage(self, name: str) -> ProcessUsage:
        """Return the CPU time used so far and the resident memory of a process."""
        return read_usage(self.processes[name].pid)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this launcher."""
        self.processes[name].send_signal(number)

    async def stop(self, name: str) -> None:
        """Terminate a process; kill it if it has not exited within ``STOP_SECONDS``."""
        process = self.processes.pop(name)
        if process.returncode is None:
            process.terminate()
            try:
                await asyncio.wait_for(process.wait(), STOP_SECONDS)
            except TimeoutError:
                process.kill()
                await process.wait()

    async def close(self) -> None:
        """Stop all processes and remove the temporary directory."""
        await asyncio.gather(*(self.stop(name) for name in list(self.processes)))
        self.client.close()
        self.work_dir.cleanup()
