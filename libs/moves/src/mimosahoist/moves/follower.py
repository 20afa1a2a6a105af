"""Each instance's part in moves: routes, evidence and verdicts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, unix_time
from mimosahoist.moves.evidence import (
    BUCKET_SECONDS,
    EVIDENCE_PREFIX,
    VERDICT_PREFIX,
    EvidenceFacts,
    MoveEvidence,
    RouteEvidence,
    VerdictFacts,
    find_fault,
    merge_records,
)
from mimosahoist.platform import kinds
from mimosahoist.query.service import VersionRoute

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.peers.facts import FactTable
    from mimosahoist.platform.versioned import VersionedCopy
    from mimosahoist.query.service import CallEvidence, Service


class ActiveMove(NamedTuple):
    """A move as stored, with its evidence at this instance."""

    spec_version: int
    spec: kinds.MoveSpec
    evidence: MoveEvidence

    @property
    def name(self) -> str:
        """Name in keys of facts."""
        return f"{self.spec['organisation']}/{self.spec['service']}/{self.spec_version}"


class MoveFollower:
    """Routes each service by its move, and judges the new version by shared evidence.

    Any instance may find a version bad; the verdict goes to all others at once and holds even
    while nobody can write to the store.
    """

    def __init__(
        self,
        instance: str,
        board: FactTable,
        objects: VersionedCopy,
        find_service: Callable[[str, str], Service | None],
    ) -> None:
        self.instance = instance
        self.board = board
        self.objects = objects
        self.find_service = find_service
        self.moves: dict[str, ActiveMove] = {}
        self.tasks = TaskSet()
        self.listened: set[int] = set()
        board.register(EvidenceFacts(), self.handle_evidence)
        board.register(VerdictFacts(), self.handle_verdict)

    async def start(self) -> None:
        """Begin to count and judge."""
        self.tasks.spawn(self.run(), "move follower")

    async def close(self) -> None:
        """Stop."""
        await self.tasks.close()

    async def run(self) -> None:
        """Refresh routes and judge at intervals."""
        while True:
            self.refresh()
            await asyncio.sleep(BUCKET_SECONDS)

    def refresh(self) -> None:
        """Take stored moves in, publish counts, judge, and set routes."""
        self.load_moves()
        for move in self.moves.values():
            if self.phase(move) in ("waiting", "running", "finishing"):
                self.publish_evidence(move)
                self.judge_move(move)
            self.set_route(move)

    def load_moves(self) -> None:
        """Follow the stored moves."""
        for key, value in self.objects.values(kinds.MOVE_PREFIX):
            version = self.objects.objects[key].version
            held = self.moves.get(key)
            if held is None or held.spec_version != version:
                evidence = MoveEvidence(value["source"], value["target"])
                self.moves[key] = ActiveMove(version, kinds.MoveSpec(**value), evidence)
        for key in list(self.moves):
            if self.objects.value(key) is None:
                self.drop_move(self.moves.pop(key))

    def drop_move(self, move: ActiveMove) -> None:
        """Route by the declaration alone once a move is withdrawn."""
        service = self.find_service(move.spec["organisation"], move.spec["service"])
        if service is not None:
            version = service.spec["version"]
            service.set_route(VersionRoute(version, version, 0.0), False)

    def status(self, move: ActiveMove) -> kinds.MoveStatus | None:
        """Stored status of this very move."""
        key = kinds.move_status_key(move.spec["organisation"], move.spec["service"])
        value = self.objects.value(key)
        if value is None or value["spec_version"] != move.spec_version:
            return None
        return kinds.MoveStatus(**value)

    def phase(self, move: ActiveMove) -> str:
        """Phase as stored; waiting if there is no status yet."""
        status = self.status(move)
        return status["phase"] if status else "waiting"

    def verdict(self, move: ActiveMove) -> str | None:
        """Reason why the version is bad, if any instance found it so."""
        value = self.board.value(VERDICT_PREFIX + move.name)
        return value[1] if value else None

    def weight(self, move: ActiveMove) -> float:
        """Share of traffic that goes to the new version now."""
        status = self.status(move)
        if status is None or status["phase"] in ("waiting", "taken-back"):
            return 0.0
        if status["phase"] != "done" and self.verdict(move) is not None:
            return 0.0
        return status["weight"]

    def set_route(self, move: ActiveMove) -> None:
        """Set the service's route by the move."""
        service = self.find_service(move.spec["organisation"], move.spec["service"])
        if service is None:
            return
        route = VersionRoute(move.spec["source"], move.spec["target"], self.weight(move))
        wanted = self.phase(move) != "taken-back" and self.verdict(move) is None
        if route != service.route or wanted != (route.target in service.pool.versions_wanted):
            json_log.change("route", service=service.spec["name"], weight=route.weight)
            service.set_route(route, wanted)
        if id(service) not in self.listened:
            self.listened.add(id(service))
            key = kinds.move_key(move.spec["organisation"], move.spec["service"])
            service.evidence_listeners.append(lambda evidence: self.record(key, evidence))

    def record(self, key: str, evidence: CallEvidence) -> None:
        """Count an exchange of a service that has a move."""
        move = self.moves.get(key)
        if move is not None:
            move.evidence.record(evidence)

    def publish_evidence(self, move: ActiveMove) -> None:
        """Share this instance's counts."""
        for route, record in move.evidence.records().items():
            if any(record[1:]):
                key = f"{EVIDENCE_PREFIX}{move.name}/{self.instance}/{route}"
                self.board.publish(key, record)
        move.evidence.turn()

    def merged_evidence(self, move: ActiveMove) -> dict[str, RouteEvidence]:
        """Sum of all instances' counts by route."""
        return merge_records(self.board.values(f"{EVIDENCE_PREFIX}{move.name}/"))

    def judge_move(self, move: ActiveMove) -> None:
        """Publish a verdict if the evidence rejects the new version."""
        if self.verdict(move) is not None:
            return
        fault = find_fault(self.merged_evidence(move))
        if fault is not None:
            self.condemn(move, fault)

    def condemn(self, move: ActiveMove, reason: str) -> None:
        """Declare the new version bad, everywhere and for good."""
        json_log.change("version bad", move=move.name, reason=reason)
        self.board.publish(VERDICT_PREFIX + move.name, [unix_time(), reason], urgent=True)
        self.set_route(move)

    def handle_evidence(self, key: str, value: Any) -> None:
        """Evidence is read when judging."""

    def handle_verdict(self, key: str, value: Any) -> None:
        """Stop routing to a version that another instance found bad."""
        for move in self.moves.values():
            if VERDICT_PREFIX + move.name == key:
                self.set_route(move)
