"""Entry instances on in-memory transports, for tests and randomised runs."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import now, unix_time
from mimosahoist.entry import bodies
from mimosahoist.entry.application import Adapters, EntryApplication
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.memory import (
    MemoryNetwork,
    MemoryPeerTransport,
    MemoryStore,
    MemoryTransport,
)
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.lab.searcher_model import SearcherModel
from mimosahoist.platform.kinds import failure_domain_key, organisation_key
from mimosahoist.query.request import RunRequest, SearchRequest
from mimosahoist.query.run import Run
from mimosahoist.query.search import Search

if TYPE_CHECKING:
    from mimosahoist.entry.settings import EntrySettings
    from mimosahoist.lab.searcher_model import SearcherSpec
    from mimosahoist.query.request import RunResult, SearchResult
    from mimosahoist.query.service import FeatureFlags

READY_SECONDS = 60.0
POLL_SECONDS = 0.05
CALLER = "desk"


class MemoryFleet:
    """One deployment: platform, searchers and entry instances in one loop."""

    def __init__(
        self,
        deployment: sizes.Deployment,
        seed: int,
        entries: int = sizes.ENTRIES,
        features: FeatureFlags | None = None,
    ) -> None:
        self.deployment = deployment
        self.seed = seed
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(random.Random(f"{seed}/network"))
        self.platform = PlatformModel(seed)
        self.entry_count = entries
        self.features = features
        self.models: dict[str, SearcherModel] = {}
        self.entries: dict[str, EntryApplication] = {}
        self.request_number = 0
        self.starts = 0

    async def start(self) -> None:
        """Start everything warm and wait until all entries are ready."""
        self.add_searchers(sizes.searcher_specs(self.deployment))
        self.declare()
        for number in range(self.entry_count):
            await self.start_entry(number)
        await self.wait_ready()

    async def close(self) -> None:
        """Close all entries."""
        for name in list(self.entries):
            await self.entries.pop(name).close()

    def add_searchers(self, specs: list[SearcherSpec]) -> None:
        """Add searchers and list them."""
        for spec in specs:
            model = SearcherModel(spec, [(1, spec.groups)], self.seed)
            self.models[spec.name] = model
            self.network.models[spec.name] = model
            self.platform.list_instance(spec.name, sizes.searcher_record(spec, spec.name))

    def declare(self) -> None:
        """Store the organisation and the failure domains."""
        name = self.deployment.organisation
        value = sizes.organisation_object(self.deployment)
        self.platform.store("objects", organisation_key(name), value)
        for domain in sizes.FAILURE_DOMAINS:
            self.set_domain(domain, out=False)

    def set_domain(self, domain: str, out: bool) -> int:
        """Take a failure domain out or bring it back; return the accepted version."""
        value = {"name": domain, "out": out}
        return self.platform.store("objects", failure_domain_key(domain), value).version

    async def start_entry(self, number: int) -> EntryApplication:
        """Start an entry instance."""
        name = f"entry-{number}"
        domain = sizes.FAILURE_DOMAINS[number % len(sizes.FAILURE_DOMAINS)]
        self.starts += 1
        app = EntryApplication(
            self.entry_settings(name, domain),
            Metrics(),
            Adapters(
                MemoryTransport(self.network, domain),
                MemoryPeerTransport(self.network, f"{name}:peer", domain),
                MemoryStore(self.platform, self.network, domain),
            ),
            random.Random(f"{self.seed}/{name}/{self.starts}"),
            incarnation=int(unix_time() * 1000) + self.starts,
            features=self.features,
        )
        self.entries[name] = app
        self.platform.list_instance(
            name,
            {
                "role": "entry",
                "failure_domain": domain,
                "address": f"{name}:http",
                "admin_address": f"{name}:admin",
                "peer_address": f"{name}:peer",
                "state": "live",
            },
        )
        await app.start()
        return app

    def entry_settings(self, name: str, domain: str) -> EntrySettings:
        """Settings of an entry instance."""
        return {
            "instance": {"name": name, "cluster": "lab", "failure_domain": domain},
            "listen": {"http": f"{name}:http", "admin": f"{name}:admin"},
            "peers": {
                "address": f"{name}:peer",
                "public_key": "",
                "secret_key": "",
                "shares": sizes.ENTRIES,
            },
            "platform": {"url": ""},
            "traces": {"sample_ratio": 0.0},
        }

    async def wait_ready(self) -> None:
        """Wait until all entries are ready."""
        await self.wait_until(lambda: all(app.ready() for app in self.entries.values()))

    async def wait_until(self, condition: Any, seconds: float = READY_SECONDS) -> float:
        """Wait until a condition holds; return the seconds that it took."""
        started = now()
        while not condition():
            if now() - started > seconds:
                raise TimeoutError("the condition did not come to hold")
            await asyncio.sleep(POLL_SECONDS)
        return now() - started

    async def kill_entry(self, name: str) -> None:
        """End an entry instance at once, as a crash does."""
        await self.entries.pop(name).close()

    async def stop_entry(self, name: str) -> None:
        """Stop an entry instance gracefully."""
        app = self.entries[name]
        await app.drain()
        self.entries.pop(name)
        await app.close()

    def pick_entry(self) -> EntryApplication:
        """A ready entry instance, as the balancer picks one."""
        ready = [app for app in self.entries.values() if app.ready()]
        return self.rng.choice(ready or list(self.entries.values()))

    async def search(
        self,
        service: str,
        text: str,
        deadline: float,
        app: EntryApplication | None = None,
        priority: int = 0,
        route: str = "default",
        request_id: str | None = None,
    ) -> SearchResult:
        """Send a search to an entry instance."""
        app = app or self.pick_entry()
        organisation = self.deployment.organisation
        query = {"text": text}
        request = SearchRequest(
            request_id or app.next_request_id(),
            query,
            route,
            10,
            0,
            now() + deadline,
            priority,
            bodies.fingerprint(organisation, service, [query, route]),
        )
        app.open_requests += 1
        try:
            return await Search(app.directory.services[organisation, service], request).run()
        finally:
            app.open_requests -= 1

    async def run(
        self,
        service: str,
        operation: dict[str, Any],
        deadline: float,
        key: str | None = None,
        app: EntryApplication | None = None,
        request_id: str | None = None,
    ) -> RunResult:
        """Send an operation to an entry instance."""
        app = app or self.pick_entry()
        organisation = self.deployment.organisation
        request = RunRequest(
            request_id or app.next_request_id(),
            operation,
            "default",
            now() + deadline,
            0,
            bodies.fingerprint(organisation, service, [operation, "default"]),
            key,
        )
        found = app.directory.services[organisation, service]
        app.open_requests += 1
        try:
            return await Run(found, request, app.idempotency, CALLER).run()
        finally:
            app.open_requests -= 1

    def total(self, name: str) -> int:
        """Sum of a counter over all searchers."""
        return sum(model.record.counts[name] for model in self.models.values())

    def metric(self, name: str) -> int:
        """Sum of a counter over all entries."""
        return sum(app.metrics.counters[name] for app in self.entries.values())
