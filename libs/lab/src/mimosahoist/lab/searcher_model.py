"""Simulated searcher, independent of any transport."""

from __future__ import annotations

import asyncio
import enum
import random
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from mimosahoist.core.tasks import now
from mimosahoist.lab.corpus import shard_hits
from mimosahoist.upstream import messages

if TYPE_CHECKING:
    from collections.abc import Callable

COLD_SLOWDOWN_FACTOR = 3.0
UNANNOUNCED_COLD_GRACE_SECONDS = 1.0
SERVICE_TIME_JITTER = 0.3
MAX_RECORDED_ANSWERS = 50_000


class SearcherSpec(NamedTuple):
    """Fixed properties of a searcher; the suffix of a time's name is its unit."""

    name: str
    organisation: str
    service: str
    kind: str
    failure_domain: str
    version: str
    group: int
    groups: int
    slots: int
    queue: int
    connections: int
    connect_ms: float
    service_ms: float
    cold_concurrency: int
    cold_seconds: float
    restart_seconds: float = 1.0


@dataclass
class SearcherFaults:
    """Faults of a searcher, adjustable at run time."""

    straggle_rate: float = 0.0
    straggle_factor: float = 10.0
    fail_rate: float = 0.0
    slow_factor: float = 1.0
    bad_route: str = ""
    bad_above_running: int = 0
    shed_rate: float = 0.0
    silent_rate: float = 0.0
    crossed_rate: float = 0.0
    lost_answer_rate: float = 0.0
    crash_text: str = ""
    status_lag: float = 0.0
    misleading: bool = False
    draining: bool = False


class Outcome(enum.Enum):
    """How an exchange ends on its connection."""

    ANSWER = "answer"
    DISCONNECT = "disconnect"
    NO_REPLY = "no-reply"


class ModelReply(NamedTuple):
    """Outcome of one exchange, with status and body if it is an answer."""

    outcome: Outcome
    status: int = 0
    body: bytes = b""


@dataclass
class SearcherRecord:
    """Requests that a searcher received, as evidence independent of the product's reports."""

    counts: Counter[str] = field(default_factory=Counter)
    most_load: int = 0
    most_connections: int = 0
    answered: OrderedDict[str, int] = field(default_factory=OrderedDict)
    begun: set[str] = field(default_factory=set)
    operations: Counter[str] = field(default_factory=Counter)
    last_begun: float = 0.0

    def record_answer(self, request: str, snapshot: int) -> None:
        """Record the snapshot that answered a shard call; evict the oldest entry if full."""
        self.answered[request] = snapshot
        if len(self.answered) > MAX_RECORDED_ANSWERS:
            self.answered.popitem(last=False)

    def to_wire(self) -> dict[str, Any]:
        """Return the record as JSON-compatible values."""
        return {
            "counts": dict(self.counts),
            "most_load": self.most_load,
            "most_connections": self.most_connections,
            "answered": dict(self.answered),
            "begun": sorted(self.begun),
            "operations": dict(self.operations),
        }


class SearcherCrashedError(Exception):
    """The searcher crashed while it held the request."""


class SearcherModel:
    """Slots, queue, connections, snapshots and faults of one searcher."""

    def __init__(self, spec: SearcherSpec, snapshots: list[tuple[int, int]], seed: int) -> None:
        self.spec = spec
        self.rng = random.Random(f"{seed}/{spec.name}")
        self.faults = SearcherFaults()
        self.record = SearcherRecord()
        self.snapshots = list(snapshots)
        self.incarnation = 1
        self.cold_until = 0.0
        self.cold_grace_until = 0.0
        self.down_until = 0.0
        self.running = 0
        self.slot_waiters: deque[asyncio.Future[None]] = deque()
        self.tasks: dict[str, asyncio.Task[ModelReply]] = {}
        self.connections = 0
        self.previous_answer: bytes | None = None
        self.statuses: deque[tuple[float, messages.UpstreamStatus]] = deque()
        self.crash_listeners: list[Callable[[], None]] = []

    def warm(self) -> bool:
        """Return whether the cold start is over."""
        return now() >= self.cold_until

    def down(self) -> bool:
        """Return whether the searcher is restarting after a crash."""
        return now() < self.down_until

    def start_cold(self) -> None:
        """Begin a cold start now."""
        self.cold_until = now() + self.spec.cold_seconds

    def turn_cold(self) -> None:
        """Become cold without notice; tolerate the load already present for a grace period."""
        self.start_cold()
        self.cold_grace_until = now() + UNANNOUNCED_COLD_GRACE_SECONDS

    def crash(self) -> None:
        """Crash: cancel all requests, close all connections, restart cold as a new incarnation."""
        self.record.counts["crashes"] += 1
        self.down_until = now() + self.spec.restart_seconds
        self.cold_until = self.down_until + self.spec.cold_seconds
        self.incarnation += 1
        self.statuses.clear()
        current = asyncio.current_task()
        for task in list(self.tasks.values()):
            if task is not current:
                task.cancel()
        for listener in self.crash_listeners:
            listener()

    def swap_snapshot(self, snapshot: int, total: int, keep: int) -> None:
        """Add a snapshot with `total` shards and retain only the newest `keep` snapshots."""
        self.snapshots.append((snapshot, total))
        del self.snapshots[:-keep]

    def shards(self, total: int) -> list[int]:
        """Return the shards that this searcher's group holds of a snapshot with `total` shards."""
        return [shard for shard in range(total) if shard % self.spec.groups == self.spec.group]

    def accept_connection(self) -> bool:
        """Count a new connection; return false if it is refused."""
        if self.down():
            return False
        if self.connections >= self.spec.connections:
            self.record.counts["connections_refused"] += 1
            return False
        self.connections += 1
        self.record.counts["connections_opened"] += 1
        self.record.most_connections = max(self.record.most_connections, self.connections)
        return True

    def close_connection(self) -> None:
        """Count a closed connection."""
        self.connections -= 1

    async def handle(self, path: str, body: bytes) -> ModelReply:
        """Serve one request and return how its exchange ends."""
        if self.down():
            return ModelReply(Outcome.DISCONNECT)
        if path == messages.STATUS_PATH:
            return json_reply(messages.STATUS_OK, self.status())
        request = msgspec.json.decode(body)
        if path == messages.CANCEL_PATH:
            return self.cancel(request["request"])
        if self.rng.random() < self.faults.silent_rate:
            self.record.counts["silenced"] += 1
            return ModelReply(Outcome.NO_REPLY)
        task = asyncio.get_running_loop().create_task(self.serve(path, request))
        self.tasks[request["request"]] = task
        try:
            return await task
        except asyncio.CancelledError:
            if self.down():
                return ModelReply(Outcome.DISCONNECT)
            return json_reply(messages.STATUS_CANCELLED, {"kind": "cancelled"})
        except SearcherCrashedError:
            return ModelReply(Outcome.DISCONNECT)
        finally:
            self.tasks.pop(request["request"], None)

    def cancel(self, request: str) -> ModelReply:
        """Cancel a queued or running search; operations are never cancelled."""
        task = self.tasks.get(request)
        if task is not None and self.spec.kind == "search":
            self.record.counts["cancelled"] += 1
            task.cancel()
        return json_reply(messages.STATUS_OK, {"request": request})

    async def serve(self, path: str, request: dict[str, Any]) -> ModelReply:
        """Admit a request or refuse it, wait for a slot, then execute it."""
        if self.faults.draining:
            self.record.counts["refused_draining"] += 1
            return refusal_reply("draining")
        if self.rng.random() < self.faults.shed_rate:
            return refusal_reply("shed")
        load = self.running + len(self.slot_waiters) + 1
        self.record.most_load = max(self.record.most_load, load)
        if load > self.spec.slots + self.spec.queue:
            self.record.counts["overload"] += 1
            return refusal_reply("shed")
        if not self.warm() and load > self.spec.cold_concurrency and now() >= self.cold_grace_until:
            self.record.counts["cold_overload"] += 1
            self.crash()
            raise SearcherCrashedError
        until = now() + request["deadline_ms"] / 1000
        await self.acquire_slot()
        try:
            if now() > until:
                return json_reply(messages.STATUS_DEADLINE, {"kind": "deadline"})
            return await self.execute(path, request)
        finally:
            self.release_slot()

    async def acquire_slot(self) -> None:
        """Wait for a slot; slots are granted in order of arrival."""
        if self.running < self.spec.slots and not self.slot_waiters:
            self.running += 1
            return
        slot = asyncio.get_running_loop().create_future()
        self.slot_waiters.append(slot)
        try:
            await slot
        except asyncio.CancelledError:
            if slot in self.slot_waiters:
                self.slot_waiters.remove(slot)
            elif slot.done() and not slot.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Pass the slot to the next waiting request, or free it."""
        while self.slot_waiters:
            slot = self.slot_waiters.popleft()
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1

    async def execute(self, path: str, request: dict[str, Any]) -> ModelReply:
        """Execute an admitted request, subject to the configured faults."""
        content = request.get("query", request.get("operation"))
        self.record.begun.add(request["request"])
        self.record.last_begun = now()
        if self.faults.crash_text and self.faults.crash_text in str(content.get("text", "")):
            self.record.counts["killed"] += 1
            self.crash()
            raise SearcherCrashedError
        if path == messages.RUN_PATH:
            self.record.operations[str(content.get("id", ""))] += 1
        await asyncio.sleep(self.service_time(request))
        if self.is_affected(request) and self.rng.random() < self.faults.fail_rate:
            self.record.counts["failed"] += 1
            return ModelReply(Outcome.ANSWER, 500, b'{"kind":"fault"}')
        reply = self.run(request) if path == messages.RUN_PATH else self.search(request)
        return self.apply_reply_faults(reply)

    def is_affected(self, request: dict[str, Any]) -> bool:
        """Return whether the faults of the searcher's version affect a request."""
        faults = self.faults
        if faults.bad_route and request["route"] != faults.bad_route:
            return False
        return self.running > faults.bad_above_running

    def service_time(self, request: dict[str, Any]) -> float:
        """Return the service time in seconds, with jitter, straggling, cold start and faults."""
        seconds = self.spec.service_ms / 1000 * (1 + SERVICE_TIME_JITTER * self.rng.random())
        if self.rng.random() < self.faults.straggle_rate:
            self.record.counts["straggled"] += 1
            seconds *= self.faults.straggle_factor
        if not self.warm():
            seconds *= COLD_SLOWDOWN_FACTOR
        if self.is_affected(request):
            seconds *= self.faults.slow_factor
        return seconds

    def search(self, request: dict[str, Any]) -> ModelReply:
        """Answer a shard call from the requested snapshot, if it is still held."""
        snapshot = request["snapshot"]
        total = dict(self.snapshots).get(snapshot)
        newest = self.snapshots[-1][0]
        if total is None or any(shard not in self.shards(total) for shard in request["shards"]):
            self.record.counts["snapshot_gone"] += 1
            return json_reply(messages.STATUS_CONFLICT, {"kind": "snapshot-gone", "newest": newest})
        text = str(request["query"].get("text", ""))
        hits = shard_hits(self.spec.service, snapshot, request["shards"], text, request["limit"])
        self.record.record_answer(request["request"], snapshot)
        self.record.counts["searches"] += 1
        return json_reply(
            messages.STATUS_OK,
            messages.SearchResponse(
                request=request["request"],
                snapshot=snapshot,
                shards=request["shards"],
                total=total,
                hits=hits,
                warm=self.reported_warm(),
                incarnation=self.incarnation,
                newest=newest,
            ),
        )

    def run(self, request: dict[str, Any]) -> ModelReply:
        """Return the answer to an operation."""
        self.record.counts["runs"] += 1
        result = {"accepted": request["operation"].get("id"), "by": self.spec.name}
        return json_reply(
            messages.STATUS_OK,
            messages.RunResponse(
                request=request["request"],
                result=result,
                warm=self.reported_warm(),
                incarnation=self.incarnation,
            ),
        )

    def apply_reply_faults(self, reply: ModelReply) -> ModelReply:
        """Drop the answer or replace it by the previous one, at the configured rates."""
        if self.rng.random() < self.faults.lost_answer_rate:
            self.record.counts["answers_lost"] += 1
            return ModelReply(Outcome.DISCONNECT)
        previous = self.previous_answer
        self.previous_answer = reply.body
        if previous is not None and self.rng.random() < self.faults.crossed_rate:
            self.record.counts["answers_crossed"] += 1
            return reply._replace(body=previous)
        return reply

    def reported_warm(self) -> bool:
        """Return the reported warm state; always true with the `misleading` fault."""
        return self.faults.misleading or self.warm()

    def status(self) -> messages.UpstreamStatus:
        """Return the latest status that is at least `status_lag` seconds old, else the oldest."""
        current = messages.UpstreamStatus(
            instance=self.spec.name,
            incarnation=self.incarnation,
            snapshots=[
                messages.SnapshotHeld(id=number, total=total, shards=self.shards(total))
                for number, total in self.snapshots
            ],
            warm=self.reported_warm(),
            running=0 if self.faults.misleading else self.running,
            queued=0 if self.faults.misleading else len(self.slot_waiters),
            draining=self.faults.draining,
        )
        self.statuses.append((now(), current))
        while len(self.statuses) > 1 and self.statuses[1][0] <= now() - self.faults.status_lag:
            self.statuses.popleft()
        return self.statuses[0][1]


def json_reply(status: int, value: Any) -> ModelReply:
    """Return an answer with a JSON body."""
    return ModelReply(Outcome.ANSWER, status, msgspec.json.encode(value))


def refusal_reply(kind: str) -> ModelReply:
    """Return a refusal of a request that was not run."""
    return json_reply(messages.STATUS_REFUSED, {"kind": kind})
