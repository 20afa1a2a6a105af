"""Controller that advances moves and writes their statuses, one instance at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, unix_time
from mimosahoist.moves.lease import StoreLease
from mimosahoist.moves.schedule import CANARY_WEIGHT, FIRST_WEIGHT, finish_time, scheduled_weight
from mimosahoist.platform import kinds

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.moves.follower import ActiveMove, MoveFollower
    from mimosahoist.platform.store import PlatformStore

CONTROL_INTERVAL_SECONDS = 0.5
LEASE_RETRY_SECONDS = 3.0
WARM_UP_TIME_FRACTION = 0.3
MIN_EVIDENCE_EXCHANGES = 30
MIN_EVIDENCE_SHARE = 0.8
TERMINAL_PHASES = ("done", "taken-back")


class Confirmation(NamedTuple):
    """Live instances that have applied a store revision, and those that have not."""

    confirmed: list[str]
    missing: list[str]


class MoveController:
    """Advances moves while it holds the lease.

    Several instances compete for the lease. Each status write is conditional on the version that
    was read, so the store refuses the write of a holder that was paused past its lease.

    Attributes
    ----------
    written_moves : set of str
        Moves whose status was written under the current fencing number. Only these are read from
        the local copy; others are read from the store first.
    written_fencing : int
        Fencing number under which `written_moves` was filled.
    """

    def __init__(
        self,
        store: PlatformStore,
        follower: MoveFollower,
        is_candidate: Callable[[], bool],
        confirm: Callable[[int], Confirmation],
        target_is_warm: Callable[[kinds.MoveSpec], bool],
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.follower = follower
        self.is_candidate = is_candidate
        self.confirm = confirm
        self.target_is_warm = target_is_warm
        self.metrics = metrics
        self.lease = StoreLease(store, kinds.MOVE_LEASE_KEY, follower.instance)
        self.written_moves: set[str] = set()
        self.written_fencing = 0
        self.tasks = TaskSet()

    async def start(self) -> None:
        """Start competing for the lease."""
        self.tasks.keep_running(self.run, "move controller")

    async def close(self) -> None:
        """Stop the controller."""
        await self.tasks.close()

    async def run(self) -> None:
        """Advance active moves at intervals while the lease is held."""
        while True:
            active = self.active_moves()
            if not active or not self.is_candidate():
                await asyncio.sleep(CONTROL_INTERVAL_SECONDS)
            elif not await self.lease.acquire_or_renew():
                await asyncio.sleep(LEASE_RETRY_SECONDS)
            else:
                for move in active:
                    await self.step(move)
                await asyncio.sleep(CONTROL_INTERVAL_SECONDS)

    def active_moves(self) -> list[ActiveMove]:
        """Return the moves that are neither done nor taken back."""
        return [
            move
            for move in self.follower.moves.values()
            if self.follower.phase(move) not in TERMINAL_PHASES
        ]

    async def step(self, move: ActiveMove) -> None:
        """Write the next status of a move if it differs from the stored one."""
        if self.written_fencing != self.lease.fencing:
            self.written_moves.clear()
            self.written_fencing = self.lease.fencing
        key = kinds.move_status_key(move.spec["organisation"], move.spec["service"])
        try:
            stored = await self.read_status(key, move)
            status, version = stored
            wanted = self.next_status(move, status, version)
            if wanted is None or not self.lease.held():
                return
            self.metrics.count("store_calls")
            await self.store.put(key, dict(wanted), version)
        except Problem as problem:
            self.metrics.count(f"move_write_{problem.kind}")
            return
        self.written_moves.add(move.name)
        if status is None or status["phase"] != wanted["phase"]:
            json_log.info("move", move=move.name, phase=wanted["phase"], reason=wanted["reason"])

    async def read_status(self, key: str, move: ActiveMove) -> tuple[kinds.MoveStatus | None, int]:
        """Return the stored status of a move and its version in the store."""
        copy = self.follower.objects.objects.get(key)
        if move.name in self.written_moves and copy is not None and copy.value is not None:
            stored = copy
        else:
            self.metrics.count("store_calls")
            stored = await self.store.get(key)
        if stored is None:
            return None, 0
        if stored.value is None or stored.value["spec_version"] != move.spec_version:
            return None, stored.version
        return kinds.MoveStatus(**stored.value), stored.version

    def next_status(
        self, move: ActiveMove, status: kinds.MoveStatus | None, version: int
    ) -> kinds.MoveStatus | None:
        """Return the status that the move should have now, or None if it is already stored."""
        phase, weight, reason = self.decide(move, status, version)
        wanted = kinds.MoveStatus(
            spec_version=move.spec_version,
            phase=phase,
            weight=weight,
            running_since=self.running_since(status),
            reason=reason,
            controller=self.follower.instance,
            fencing=self.lease.fencing,
        )
        if status is not None and status["phase"] == phase == "waiting":
            wanted["running_since"] = status["running_since"]
        return None if status == wanted else wanted

    def running_since(self, status: kinds.MoveStatus | None) -> float:
        """Return the Unix time at which the move left the waiting phase, or now if it has not."""
        if status is None or status["phase"] == "waiting":
            return unix_time()
        return status["running_since"]

    def decide(
        self, move: ActiveMove, status: kinds.MoveStatus | None, version: int
    ) -> tuple[kinds.MovePhase, float, str]:
        """Decide phase, weight and reason from verdict, schedule and confirmations."""
        at = unix_time()
        spec = move.spec
        phase = status["phase"] if status else "waiting"
        if status is not None and phase in TERMINAL_PHASES:
            return phase, status["weight"], status["reason"]
        verdict = self.follower.verdict(move)
        if verdict is not None:
            return "taken-back", 0.0, verdict
        if at >= spec["deadline"]:
            return "taken-back", 0.0, "the deadline passed before every instance confirmed"
        if phase == "waiting":
            return self.decide_waiting(spec, at)
        if phase == "finishing":
            if not self.confirm(version).missing:
                return "done", 1.0, "every live instance confirmed"
            return "finishing", 1.0, "waiting for every live instance to confirm"
        since = status["running_since"]
        if at >= finish_time(since, spec["deadline"]):
            return "finishing", 1.0, "waiting for every live instance to confirm"
        weight = scheduled_weight(since, spec["deadline"], at)
        if not self.has_evidence(move):
            weight = min(weight, CANARY_WEIGHT)
        return "running", max(weight, status["weight"]), "by schedule"

    def decide_waiting(self, spec: kinds.MoveSpec, at: float) -> tuple[kinds.MovePhase, float, str]:
        """Decide phase, weight and reason while the new version's upstreams warm up."""
        if self.target_is_warm(spec):
            return "running", FIRST_WEIGHT, "by schedule"
        latest = spec["started"] + WARM_UP_TIME_FRACTION * (spec["deadline"] - spec["started"])
        if at > latest:
            return "taken-back", 0.0, "the new version's upstreams did not warm up in time"
        return "waiting", 0.0, "the new version's upstreams are not warm yet"

    def has_evidence(self, move: ActiveMove) -> bool:
        """Return whether enough exchanges on each route reached the new version.

        Its weight grows beyond CANARY_WEIGHT only then. With little traffic, most of that share is
        enough; without traffic no exchange is needed.
        """
        enough = MIN_EVIDENCE_SHARE * CANARY_WEIGHT
        return all(
            recent.new.total >= min(MIN_EVIDENCE_EXCHANGES, recent.old.total * enough)
            for recent in self.follower.recent_evidence(move)
        )
