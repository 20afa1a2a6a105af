"""Behaviour of a stand-in searcher, without any transport."""

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

COLD_SLOWNESS = 3.0
SURPRISE_GRACE_SECONDS = 1.0
SERVICE_JITTER = 0.3
KEPT_ANSWERS = 50_000
STATUS_TICK = 0.1


class SearcherSpec(NamedTuple):
    """Fixed properties of a searcher; times in milliseconds and seconds as named."""

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
class Faults:
    """Faults that can be switched while it runs."""

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
    """What happens on the connection."""

    ANSWER = "answer"
    BREAK = "break"
    SILENCE = "silence"


class ModelReply(NamedTuple):
    """Outcome of one exchange."""

    outcome: Outcome
    status: int = 0
    body: bytes = b""


@dataclass
class Record:
    """What reached the searcher, kept by itself to check the product's claims."""

    counts: Counter[str] = field(default_factory=Counter)
    most_load: int = 0
    most_connections: int = 0
    answered: OrderedDict[str, int] = field(default_factory=OrderedDict)
    begun: set[str] = field(default_factory=set)
    operations: Counter[str] = field(default_factory=Counter)
    last_begun: float = 0.0

    def note_answered(self, request: str, snapshot: int) -> None:
        """Remember which snapshot answered a shard call."""
        self.answered[request] = snapshot
        if len(self.answered) > KEPT_ANSWERS:
            self.answered.popitem(last=False)

    def to_wire(self) -> dict[str, Any]:
        """JSON form."""
        return {
            "counts": dict(self.counts),
            "most_load": self.most_load,
            "most_connections": self.most_connections,
            "answered": dict(self.answered),
            "begun": sorted(self.begun),
            "operations": dict(self.operations),
        }


class Crashed(Exception):
    """The searcher fell over while a request was in it."""


class SearcherModel:
    """Slots, queue, connections, snapshots and faults of one searcher."""

    def __init__(self, spec: SearcherSpec, snapshots: list[tuple[int, int]], seed: int) -> None:
        self.spec = spec
        self.rng = random.Random(f"{seed}/{spec.name}")
        self.faults = Faults()
        self.record = Record()
        self.snapshots = list(snapshots)
        self.incarnation = 1
        self.cold_until = 0.0
        self.grace_until = 0.0
        self.down_until = 0.0
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.work: dict[str, asyncio.Task[ModelReply]] = {}
        self.connections = 0
        self.previous_answer: bytes | None = None
        self.statuses: deque[tuple[float, messages.UpstreamStatus]] = deque()
        self.crash_listeners: list[Callable[[], None]] = []

    def warm(self) -> bool:
        """Whether the cold start is over."""
        return now() >= self.cold_until

    def down(self) -> bool:
        """Whether it is restarting."""
        return now() < self.down_until

    def start_cold(self) -> None:
        """Begin a cold start."""
        self.cold_until = now() + self.spec.cold_seconds

    def turn_cold(self) -> None:
        """Turn cold without warning; what is in it already is borne for a moment."""
        self.start_cold()
        self.grace_until = now() + SURPRISE_GRACE_SECONDS

    def crash(self) -> None:
        """Fall over: break everything, restart cold with a new incarnation."""
        self.record.counts["crashes"] += 1
        self.down_until = now() + self.spec.restart_seconds
        self.cold_until = self.down_until + self.spec.cold_seconds
        self.incarnation += 1
        self.statuses.clear()
        current = asyncio.current_task()
        for task in list(self.work.values()):
            if task is not current:
                task.cancel()
        for listener in self.crash_listeners:
            listener()

    def swap_snapshot(self, snapshot: int, total: int, keep: int) -> None:
        """Take a new snapshot in and drop the oldest beyond `keep`."""
        self.snapshots.append((snapshot, total))
        del self.snapshots[:-keep]

    def shards(self, total: int) -> list[int]:
        """Shards of a snapshot that this searcher's group holds."""
        return [shard for shard in range(total) if shard % self.spec.groups == self.spec.group]

    def open_connection(self) -> bool:
        """Count a new connection; false if it is refused."""
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
        """Serve one request."""
        if self.down():
            return ModelReply(Outcome.BREAK)
        if path == messages.STATUS_PATH:
            return answer(messages.STATUS_OK, self.status())
        request = msgspec.json.decode(body)
        if path == messages.CANCEL_PATH:
            return self.cancel(request["request"])
        if self.rng.random() < self.faults.silent_rate:
            self.record.counts["silenced"] += 1
            return ModelReply(Outcome.SILENCE)
        task = asyncio.get_running_loop().create_task(self.serve(path, request))
        self.work[request["request"]] = task
        try:
            return await task
        except asyncio.CancelledError:
            if self.down():
                return ModelReply(Outcome.BREAK)
            return answer(messages.STATUS_CANCELLED, {"kind": "cancelled"})
        except Crashed:
            return ModelReply(Outcome.BREAK)
        finally:
            self.work.pop(request["request"], None)

    def cancel(self, request: str) -> ModelReply:
        """Stop a search that is queued or running; operations are never stopped."""
        task = self.work.get(request)
        if task is not None and self.spec.kind == "search":
            self.record.counts["cancelled"] += 1
            task.cancel()
        return answer(messages.STATUS_OK, {"request": request})

    async def serve(self, path: str, request: dict[str, Any]) -> ModelReply:
        """Admit, wait for a slot, work, answer."""
        if self.faults.draining:
            self.record.counts["refused_draining"] += 1
            return refusal("draining")
        if self.rng.random() < self.faults.shed_rate:
            return refusal("shed")
        load = self.running + len(self.waiting) + 1
        self.record.most_load = max(self.record.most_load, load)
        if load > self.spec.slots + self.spec.queue:
            self.record.counts["overload"] += 1
            return refusal("shed")
        if not self.warm() and load > self.spec.cold_concurrency and now() >= self.grace_until:
            self.record.counts["cold_overload"] += 1
            self.crash()
            raise Crashed
        until = now() + request["deadline_ms"] / 1000
        await self.enter()
        try:
            if now() > until:
                return answer(messages.STATUS_DEADLINE, {"kind": "deadline"})
            return await self.execute(path, request)
        finally:
            self.leave()

    async def enter(self) -> None:
        """Take a slot, in order of arrival."""
        if self.running < self.spec.slots and not self.waiting:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Give the slot to the next one."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def execute(self, path: str, request: dict[str, Any]) -> ModelReply:
        """Do the work of an admitted request."""
        content = request.get("query", request.get("operation"))
        self.record.begun.add(request["request"])
        self.record.last_begun = now()
        if self.faults.crash_text and self.faults.crash_text in str(content.get("text", "")):
            self.record.counts["killed"] += 1
            self.crash()
            raise Crashed
        if path == messages.RUN_PATH:
            self.record.operations[str(content.get("id", ""))] += 1
        await asyncio.sleep(self.service_time(request))
        if self.is_bad(request) and self.rng.random() < self.faults.fail_rate:
            self.record.counts["failed"] += 1
            return ModelReply(Outcome.ANSWER, 500, b'{"kind":"fault"}')
        reply = self.run(request) if path == messages.RUN_PATH else self.search(request)
        return self.distort(reply)

    def is_bad(self, request: dict[str, Any]) -> bool:
        """Whether the version's faults concern a request."""
        faults = self.faults
        if faults.bad_route and request["route"] != faults.bad_route:
            return False
        return self.running > faults.bad_above_running

    def service_time(self, request: dict[str, Any]) -> float:
        """Seconds of work, with jitter, straggling, coldness and faults."""
        seconds = self.spec.service_ms / 1000 * (1 + SERVICE_JITTER * self.rng.random())
        if self.rng.random() < self.faults.straggle_rate:
            self.record.counts["straggled"] += 1
            seconds *= self.faults.straggle_factor
        if not self.warm():
            seconds *= COLD_SLOWNESS
        if self.is_bad(request):
            seconds *= self.faults.slow_factor
        return seconds

    def search(self, request: dict[str, Any]) -> ModelReply:
        """Answer a shard call from its snapshot."""
        snapshot = request["snapshot"]
        total = dict(self.snapshots).get(snapshot)
        newest = self.snapshots[-1][0]
        if total is None or any(shard not in self.shards(total) for shard in request["shards"]):
            self.record.counts["snapshot_gone"] += 1
            return answer(messages.STATUS_CONFLICT, {"kind": "snapshot-gone", "newest": newest})
        text = str(request["query"].get("text", ""))
        hits = shard_hits(self.spec.service, snapshot, request["shards"], text, request["limit"])
        self.record.note_answered(request["request"], snapshot)
        self.record.counts["searches"] += 1
        return answer(
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
        """Answer an operation."""
        self.record.counts["runs"] += 1
        result = {"accepted": request["operation"].get("id"), "by": self.spec.name}
        return answer(
            messages.STATUS_OK,
            messages.RunResponse(
                request=request["request"],
                result=result,
                warm=self.reported_warm(),
                incarnation=self.incarnation,
            ),
        )

    def distort(self, reply: ModelReply) -> ModelReply:
        """Cross or lose an answer."""
        if self.rng.random() < self.faults.lost_answer_rate:
            self.record.counts["answers_lost"] += 1
            return ModelReply(Outcome.BREAK)
        previous = self.previous_answer
        self.previous_answer = reply.body
        if previous is not None and self.rng.random() < self.faults.crossed_rate:
            self.record.counts["answers_crossed"] += 1
            return reply._replace(body=previous)
        return reply

    def reported_warm(self) -> bool:
        """Warmth as reported, which may mislead."""
        return self.faults.misleading or self.warm()

    def status(self) -> messages.UpstreamStatus:
        """Status as reported, which may lag."""
        current = messages.UpstreamStatus(
            instance=self.spec.name,
            incarnation=self.incarnation,
            snapshots=[
                messages.SnapshotHeld(id=number, total=total, shards=self.shards(total))
                for number, total in self.snapshots
            ],
            warm=self.reported_warm(),
            running=0 if self.faults.misleading else self.running,
            queued=0 if self.faults.misleading else len(self.waiting),
            draining=self.faults.draining,
        )
        self.statuses.append((now(), current))
        while len(self.statuses) > 1 and self.statuses[1][0] <= now() - self.faults.status_lag:
            self.statuses.popleft()
        return self.statuses[0][1]


def answer(status: int, value: Any) -> ModelReply:
    """An answer with a JSON body."""
    return ModelReply(Outcome.ANSWER, status, msgspec.json.encode(value))


def refusal(kind: str) -> ModelReply:
    """A refusal of a request that was not run."""
    return answer(messages.STATUS_REFUSED, {"kind": kind})
