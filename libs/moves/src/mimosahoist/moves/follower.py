"""Follower of moves on each instance: splits traffic, publishes evidence and verdicts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, now, unix_time
from mimosahoist.moves.evidence import (
    BUCKET_SECONDS,
    EVIDENCE_PREFIX,
    VERDICT_PREFIX,
    EvidenceFacts,
    EvidenceHistory,
    MoveEvidence,
    VerdictFacts,
    Window,
    merge_records,
)
from mimosahoist.platform import kinds
from mimosahoist.query.service import VersionSplit

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.peers.facts import FactTable
    from mimosahoist.platform.versioned import VersionedCopy
    from mimosahoist.query.service import CallObservation, Service


class ActiveMove(NamedTuple):
    """A stored move, the evidence that this instance has counted, and that of all instances."""

    spec_version: int
    spec: kinds.MoveSpec
    evidence: MoveEvidence
    history: EvidenceHistory

    @property
    def name(self) -> str:
        """Name of the move in the keys of facts."""
        return f"{self.spec['organisation']}/{self.spec['service']}/{self.spec_version}"


class MoveFollower:
    """Splits each service's traffic as its move says, and evaluates the new version.

    The evaluation uses the evidence of all instances. Any instance may reject a version. The
    verdict is sent to all other instances at once and applies even while the store cannot be
    written.
    """

    def __init__(
        self,
        instance: str,
        fact_table: FactTable,
        objects: VersionedCopy,
        find_service: Callable[[str, str], Service | None],
    ) -> None:
        self.instance = instance
        self.fact_table = fact_table
        self.objects = objects
        self.find_service = find_service
        self.moves: dict[str, ActiveMove] = {}
        self.tasks = TaskSet()
        self.subscribed_service_ids: set[int] = set()
        fact_table.register(EvidenceFacts(), self.handle_evidence)
        fact_table.register(VerdictFacts(), self.handle_verdict)

    async def start(self) -> None:
        """Start counting and evaluating."""
        self.tasks.keep_running(self.run, "move follower")

    async def close(self) -> None:
        """Stop the follower."""
        await self.tasks.close()

    async def run(self) -> None:
        """Refresh version splits and evaluate versions at intervals."""
        while True:
            self.refresh()
            await asyncio.sleep(BUCKET_SECONDS)

    def refresh(self) -> None:
        """Load stored moves, publish counts, evaluate versions and apply version splits."""
        self.load_moves()
        for move in self.moves.values():
            if self.phase(move) in ("waiting", "running", "finishing"):
                self.publish_evidence(move)
                self.evaluate_move(move)
            self.apply_version_split(move)

    def load_moves(self) -> None:
        """Add new and changed moves from the store, and drop withdrawn ones."""
        for key, value in self.objects.values(kinds.MOVE_PREFIX):
            version = self.objects.objects[key].version
            held = self.moves.get(key)
            if held is None or held.spec_version != version:
                evidence = MoveEvidence(value["source"], value["target"])
                spec = kinds.MoveSpec(**value)
                self.moves[key] = ActiveMove(version, spec, evidence, EvidenceHistory())
        for key in list(self.moves):
            if self.objects.value(key) is None:
                self.drop_move(self.moves.pop(key))

    def drop_move(self, move: ActiveMove) -> None:
        """Send all traffic to the declared version once a move is withdrawn."""
        service = self.find_service(move.spec["organisation"], move.spec["service"])
        if service is not None:
            version = service.spec["version"]
            service.set_version_split(VersionSplit(version, version, 0.0), False)

    def status(self, move: ActiveMove) -> kinds.MoveStatus | None:
        """Return the stored status of a move, or None if it belongs to another `spec_version`."""
        key = kinds.move_status_key(move.spec["organisation"], move.spec["service"])
        value = self.objects.value(key)
        if value is None or value["spec_version"] != move.spec_version:
            return None
        return kinds.MoveStatus(**value)

    def phase(self, move: ActiveMove) -> str:
        """Return the stored phase of a move; `waiting` if no status is stored yet."""
        status = self.status(move)
        return status["phase"] if status else "waiting"

    def verdict(self, move: ActiveMove) -> str | None:
        """Return why the new version was rejected, or None if no instance has rejected it."""
        value = self.fact_table.value(VERDICT_PREFIX + move.name)
        return value[1] if value else None

    def weight(self, move: ActiveMove) -> float:
        """Return the fraction of the traffic that the new version gets now."""
        status = self.status(move)
        if status is None or status["phase"] in ("waiting", "taken-back"):
            return 0.0
        if status["phase"] != "done" and self.verdict(move) is not None:
            return 0.0
        return status["weight"]

    def apply_version_split(self, move: ActiveMove) -> None:
        """Set the version split of a service as its move says."""
        service = self.find_service(move.spec["organisation"], move.spec["service"])
        if service is None:
            return
        split = VersionSplit(move.spec["source"], move.spec["target"], self.weight(move))
        wanted = self.phase(move) != "taken-back" and self.verdict(move) is None
        if split != service.version_split or wanted != (
            split.target in service.pool.active_versions
        ):
            json_log.info("route", service=service.spec["name"], weight=split.weight)
            service.set_version_split(split, wanted)
        if id(service) not in self.subscribed_service_ids:
            self.subscribed_service_ids.add(id(service))
            key = kinds.move_key(move.spec["organisation"], move.spec["service"])
            service.observation_listeners.append(lambda observation: self.record(key, observation))

    def record(self, key: str, observation: CallObservation) -> None:
        """Count a call of a service with a move."""
        move = self.moves.get(key)
        if move is not None:
            move.evidence.record(observation)

    def publish_evidence(self, move: ActiveMove) -> None:
        """Publish this instance's counts."""
        for name, record in move.evidence.records().items():
            key = f"{EVIDENCE_PREFIX}{move.name}/{self.instance}/{name}"
            self.fact_table.publish(key, record)

    def merged_evidence(self, move: ActiveMove) -> dict[str, Window]:
        """Return the sum of all instances' counts, by route."""
        return merge_records(self.fact_table.values(f"{EVIDENCE_PREFIX}{move.name}/"))

    def recent_evidence(self, move: ActiveMove) -> list[Window]:
        """Return the sum of all instances' counts in the long window, of each route."""
        merged = self.merged_evidence(move)
        return [move.history.windows(now(), merged, route).long for route in merged]

    def evaluate_move(self, move: ActiveMove) -> None:
        """Publish a verdict if the evidence rejects the new version."""
        if self.verdict(move) is not None:
            return
        merged = self.merged_evidence(move)
        move.history.add(now(), merged)
        fault = move.history.find_fault(now(), merged)
        if fault is not None:
            self.reject_version(move, fault)

    def reject_version(self, move: ActiveMove, reason: str) -> None:
        """Publish a final verdict against the new version to all instances."""
        json_log.info("version bad", move=move.name, reason=reason)
        self.fact_table.publish(VERDICT_PREFIX + move.name, [unix_time(), reason], urgent=True)
        self.apply_version_split(move)

    def handle_evidence(self, key: str, value: Any) -> None:
        """Do nothing: evidence is read when a move is evaluated."""

    def handle_verdict(self, key: str, value: Any) -> None:
        """Stop sending traffic to a version that another instance has rejected."""
        for move in self.moves.values():
            if VERDICT_PREFIX + move.name == key:
                self.apply_version_split(move)
