"""Rollouts: every instance counts and judges; the first that reaches the store writes progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, now, unix_time
from mimosahoist.forward.outcomes import Answered, LossKind, Lost, Refused, Unreached
from mimosahoist.forward.rollout_order import RolloutOrder, RolloutPhase
from mimosahoist.forward.rollout_plan import RolloutSigns, next_state
from mimosahoist.forward.version_split import VersionSplit
from mimosahoist.moves.evidence import (
    BUCKET_SECONDS,
    EVIDENCE_PREFIX,
    VERDICT_PREFIX,
    EvidenceFacts,
    MoveEvidence,
    VerdictFacts,
    find_fault,
    merge_records,
)
from mimosahoist.peers.facts import FactKind
from mimosahoist.platform.watched import WatchedItem, WatchedKind

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.outcomes import CallOutcome
    from mimosahoist.forward.peers import Peers
    from mimosahoist.forward.state_cache import StateCache
    from mimosahoist.forward.upstream import Upstream
    from mimosahoist.platform.watched import WatchedStore

CONFIRMED_PREFIX = "confirmed/"
STEP_SECONDS = 0.25
TURN_SECONDS = 0.75
ABLE_SHARE = 0.5


class ConfirmationFacts(FactKind):
    """Store revisions of rollouts that an instance has in force with no call against them."""

    prefix = CONFIRMED_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return isinstance(value, int)

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later revision."""
        return max(held, received)


class Rollouts:
    """Follows the orders in the store, and advances them.

    Every instance splits its calls by the stored weight, counts how both versions answer and may
    find the target bad, which stops it everywhere at once, also while the store is away. Progress
    is written under the revision that was read, so one write wins and a paused writer changes
    nothing. Instances take turns by rendezvous order: the next one writes if those before do not.
    """

    def __init__(
        self,
        store: WatchedStore,
        state_cache: StateCache,
        fleet: UpstreamFleet,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.state_cache = state_cache
        self.fleet = fleet
        self.peers = peers
        self.metrics = metrics
        self.board = peers.board
        self.evidence: dict[str, MoveEvidence] = {}
        self.due_since: dict[str, float] = {}
        self.tasks = TaskSet()
        self.board.register(EvidenceFacts(), self.handle_fact)
        self.board.register(VerdictFacts(), self.handle_fact)
        self.board.register(ConfirmationFacts(), self.handle_fact)
        state_cache.listeners.append(self.handle_belief)

    async def start(self) -> None:
        """Begin to judge and to advance."""
        self.tasks.spawn(self.run(), "rollouts")

    async def close(self) -> None:
        """Stop."""
        await self.tasks.close()

    async def run(self) -> None:
        """Publish counts, judge and advance at intervals."""
        turned = now()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            if now() - turned >= BUCKET_SECONDS:
                turned = now()
                self.publish_evidence()
            for item in self.active():
                self.judge(item.value)
                self.confirm(item)
                await self.advance(item)

    def active(self) -> list[WatchedItem]:
        """Orders that are neither completed nor rolled back."""
        items = self.state_cache.items[WatchedKind.ROLLOUTS].values()
        return [
            item
            for item in items
            if isinstance(item.value, RolloutOrder) and not item.value.state.ended
        ]

    def handle_belief(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Put an order, its progress or its removal in force."""
        if kind is not WatchedKind.ROLLOUTS:
            return
        if isinstance(item.value, RolloutOrder):
            self.put_in_force(item.value)
        elif self.fleet.splits.pop(item.name, None) is not None:
            json_log.change("rollout withdrawn", service=item.name)

    def put_in_force(self, order: RolloutOrder) -> None:
        """Split the service's calls as an order and its progress say."""
        split = self.fleet.splits.get(order.service)
        if split is None or split.order.key != order.key:
            split = VersionSplit(order, now())
            self.fleet.splits[order.service] = split
            self.evidence[order.service] = MoveEvidence("", order.target)
        split.take(order, now())
        weight = 0.0 if self.fault(order) and not order.state.ended else order.state.weight
        if weight != split.weight:
            json_log.change(
                "rollout in force",
                service=order.service,
                target=order.target,
                phase=str(order.state.phase),
                weight=weight,
            )
        split.set_weight(weight)

    def fault(self, order: RolloutOrder) -> str | None:
        """Why the target is bad, if any instance found so."""
        verdict = self.board.value(VERDICT_PREFIX + order.key)
        return verdict[1] if verdict else None

    def handle_fact(self, key: str, value: Any) -> None:
        """Stop sending to a version that another instance found bad."""
        for split in list(self.fleet.splits.values()):
            if key == VERDICT_PREFIX + split.order.key:
                self.put_in_force(split.order)

    def record(
        self, upstream: Upstream, route: Route, outcome: CallOutcome | None, elapsed: float
    ) -> None:
        """Count how a call to a service with a rollout went; None if it was given up.

        Cold upstreams are slow whatever their version, and a refusal says nothing of one.
        """
        service = upstream.record.service
        split = self.fleet.splits.get(service)
        if split is None or split.order.state.ended or upstream.cold(now()):
            return
        if isinstance(outcome, Refused | Unreached) or outcome == Lost(LossKind.ABANDONED):
            return
        failed = isinstance(outcome, Lost) or (
            isinstance(outcome, Answered) and not outcome.is_success
        )
        counter = self.evidence[service].counter(route.name)
        counter.record(split.is_target(upstream), failed, elapsed, outcome is not None)

    def publish_evidence(self) -> None:
        """Share this instance's counts."""
        for item in self.active():
            order = item.value
            evidence = self.evidence[order.service]
            for route, record in evidence.records().items():
                if any(record[1:]):
                    key = f"{EVIDENCE_PREFIX}{order.key}/{self.peers.name}/{route}"
                    self.board.publish(key, record)
            evidence.turn()

    def judge(self, order: RolloutOrder) -> None:
        """Publish a verdict if the evidence of all instances rejects the target."""
        if self.fault(order) is not None:
            return
        fault = find_fault(merge_records(self.board.values(f"{EVIDENCE_PREFIX}{order.key}/")))
        if fault is not None:
            json_log.change("version bad", service=order.service, target=order.target, why=fault)
            self.board.publish(VERDICT_PREFIX + order.key, [unix_time(), fault], urgent=True)
            self.put_in_force(order)

    def confirm(self, item: WatchedItem) -> None:
        """Tell the others once no call at another version is left."""
        order = item.value
        split = self.fleet.splits[order.service]
        if order.state.phase is not RolloutPhase.FINISHING or split.weight < 1.0:
            return
        if not any(
            upstream.in_flight
            for upstream in self.fleet.services.get(order.service, {}).values()
            if not split.is_target(upstream)
        ):
            key = f"{CONFIRMED_PREFIX}{order.key}/{self.peers.name}"
            self.board.publish(key, item.revision, urgent=True)

    def confirmed_by_all(self, item: WatchedItem) -> bool:
        """Whether every live instance has told that it is through with other versions."""
        return all(
            (self.board.value(f"{CONFIRMED_PREFIX}{item.value.key}/{name}") or 0) >= item.revision
            for name in self.peers.alive_names()
        )

    def able(self, split: VersionSplit) -> bool:
        """Whether the target's upstreams are many enough and warm."""
        slots = {True: 0, False: 0}
        for upstream in self.fleet.services.get(split.order.service, {}).values():
            if not upstream.record.leaving and not upstream.cold(now()):
                slots[split.is_target(upstream)] += upstream.record.slots
        return slots[True] > 0 and slots[True] >= ABLE_SHARE * slots[False]

    def signs(self, item: WatchedItem) -> RolloutSigns:
        """What is known of a rollout now."""
        order = item.value
        split = self.fleet.splits[order.service]
        return RolloutSigns(
            split.elapsed(now(), unix_time()),
            now() - split.changed_at,
            self.fault(order),
            self.able(split),
            self.confirmed_by_all(item),
        )

    async def advance(self, item: WatchedItem) -> None:
        """Write the next state if it is due and this instance's turn has come."""
        order = item.value
        state = next_state(order, self.signs(item), unix_time())
        if state is None:
            self.due_since.pop(order.service, None)
            return
        due = self.due_since.setdefault(order.service, now())
        if now() - due < TURN_SECONDS * self.peers.rank():
            return
        self.metrics.count("rollout_writes")
        try:
            held = await self.store.write_rollout(item, state)
        except Problem as problem:
            json_log.change("rollout not written", service=order.service, error=problem.message)
            self.due_since[order.service] = now()
            return
        self.due_since.pop(order.service, None)
        json_log.change(
            "rollout written",
            service=order.service,
            phase=str(state.phase),
            weight=state.weight,
            elapsed=round(state.elapsed, 2),
            revision=held.revision,
        )
        self.state_cache.put_if_newer(WatchedKind.ROLLOUTS, held)
