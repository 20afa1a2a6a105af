"""Control of rollouts: all instances evaluate the target version, one writes the progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, now, unix_time
from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.forward.rollout_confirmation import CONFIRMED_PREFIX, ConfirmationFacts
from mimosahoist.forward.rollout_evidence import RolloutEvidence
from mimosahoist.forward.rollout_exposure import EXPOSURE_PREFIX, ExposureFacts
from mimosahoist.forward.rollout_plan import RolloutObservation, next_state
from mimosahoist.forward.version_history import VersionHistory, VersionState
from mimosahoist.forward.version_split import VersionSplit
from mimosahoist.moves.evidence import (
    BUCKET_SECONDS,
    VERDICT_PREFIX,
    EvidenceFacts,
    SampleFacts,
    VerdictFacts,
)
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

CONTROL_INTERVAL_SECONDS = 0.1
IDLE_SECONDS = 0.25
LATE_PHASES = (RolloutPhase.TRIAL, RolloutPhase.FINISHING)
# Phases with a decision that waits for counts, or with a verdict that may come any moment.
URGENT_PHASES = (RolloutPhase.ORDERED, *LATE_PHASES)
WRITE_STAGGER_SECONDS = 0.75
# Towards the end little time is left to stand in for an instance that does not write.
LATE_WRITE_STAGGER_SECONDS = 0.12
MIN_CAPACITY_SHARE = 0.5
# Several times the interval at which counts are shared in the last step.
SILENT_SECONDS = 0.7
LOG_INTERVAL_SECONDS = 1.0
MAINTENANCE_SECONDS = 600.0
# Time in which an instance that starts hears from all others what they have counted.
JOINING_SECONDS = 1.5
EXHAUSTED = "the target has had all calls that it may get before the rollout is completed"
OVERDUE = "the time limit passed before the rollout was completed"


class RolloutController:
    """Applies the rollouts in the store on this instance and advances them.

    Every instance splits its calls by the stored weight, counts the outcomes of both versions and
    may reject the target. A rejection stops calls to the target on all instances at once, even
    while the store is unavailable. Writes of progress are conditional on the revision that was
    read, so only one succeeds, and a writer resumed after a pause changes nothing. Instances write
    in rendezvous order, staggered by WRITE_STAGGER_SECONDS: the next one writes if those before it
    have not.

    Attributes
    ----------
    evidence : dict
        What is known about the target version, by service.
    due_since : dict
        Loop time since which the next state of a service's rollout is due to be written.
    writing : set of str
        Services whose next state is being written.
    versions : VersionHistory
        What is known of the versions, and so how orders have ended. It holds even if the store goes
        back to a copy from before, because upstreams have been stopped on the strength of it.
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
        self.fact_table = peers.fact_table
        self.evidence: dict[str, RolloutEvidence] = {}
        self.due_since: dict[str, float] = {}
        self.writing: set[str] = set()
        self.versions = VersionHistory(self.fact_table, self.handle_version)
        fleet.unproven = self.versions.unproven
        self.logged_at = 0.0
        self.maintained_at = 0.0
        self.tasks = TaskSet()
        self.fact_table.register(EvidenceFacts(), self.handle_fact)
        self.fact_table.register(SampleFacts(), self.handle_fact)
        self.fact_table.register(VerdictFacts(), self.handle_fact)
        self.fact_table.register(ConfirmationFacts(), self.handle_fact)
        self.fact_table.register(ExposureFacts(), self.handle_exposure)
        state_cache.listeners.append(self.handle_item)

    async def start(self) -> None:
        """Start evaluating and advancing rollouts."""
        self.tasks.keep_running(self.run, "rollouts")

    async def close(self) -> None:
        """Stop the controller."""
        await self.tasks.close()

    async def run(self) -> None:
        """Publish counts, evaluate versions and advance rollouts at intervals."""
        published_at = self.maintained_at = now()
        while True:
            await asyncio.sleep(CONTROL_INTERVAL_SECONDS if self.active() else IDLE_SECONDS)
            is_due = now() - published_at >= BUCKET_SECONDS
            if is_due:
                published_at = now()
            for item in self.active():
                if self.outcome(item.value) is not None:
                    self.advance(item)
                    continue
                is_urgent = item.value.state.phase in URGENT_PHASES
                if is_due or is_urgent:
                    self.evidence[item.value.service].publish(is_urgent)
                self.evaluate(item.value)
                self.confirm(item)
                self.advance(item)
            self.log_exposure()
            self.maintain_versions()

    def active(self) -> list[WatchedItem]:
        """Rollouts that are neither completed nor rolled back."""
        items = self.state_cache.items[WatchedKind.ROLLOUTS].values()
        return [
            item for item in items if isinstance(item.value, Rollout) and not item.value.state.ended
        ]

    def handle_item(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Apply a new rollout, its progress or its removal."""
        if kind is not WatchedKind.ROLLOUTS:
            return
        if isinstance(item.value, Rollout):
            self.apply(item.value)
        elif item.name in self.fleet.splits:
            self.fleet.splits.pop(item.name)
            json_log.info("rollout withdrawn", service=item.name)

    def apply(self, rollout: Rollout) -> None:
        """Apply a rollout and its stored progress to the split of the service's calls."""
        split = self.fleet.splits.get(rollout.service)
        is_new = split is None or split.rollout.key != rollout.key
        self.record_versions(rollout, is_new)
        rollout = rollout._replace(state=self.outcome(rollout) or rollout.state)
        if is_new:
            split = VersionSplit(rollout, now())
            self.fleet.splits[rollout.service] = split
            self.evidence[rollout.service] = RolloutEvidence(
                rollout, split, self.peers.name, self.fact_table
            )
            for _, value in self.fact_table.values(f"{EXPOSURE_PREFIX}{rollout.key}/"):
                split.record_elapsed(value[-1], now())
        split.update(rollout, now())
        split.target_in_service = self.versions.is_in_service(rollout.service, rollout.target)
        weight = (
            0.0
            if self.rejection_reason(rollout) and not rollout.state.ended
            else rollout.state.weight
        )
        if weight != split.weight:
            json_log.info(
                "rollout in force",
                service=rollout.service,
                target=rollout.target,
                phase=str(rollout.state.phase),
                weight=weight,
            )
        split.set_weight(weight)

    def record_versions(self, rollout: Rollout, is_new: bool) -> None:
        """Learn what a rollout says about the versions of its service."""
        service, target, key = rollout.service, rollout.target, rollout.key
        self.versions.merge(service, rollout.versions)
        if is_new:
            others = self.fleet.established_versions(service) - {target}
            self.versions.record_order(service, target, key, others, unix_time())
        if rollout.state.ended:
            is_completed = rollout.state.phase is RolloutPhase.COMPLETED
            self.versions.record_outcome(service, target, key, is_completed, unix_time())

    def outcome(self, rollout: Rollout) -> RolloutState | None:
        """Final state of a rollout, or None if it has not ended as far as is known."""
        state = self.versions.outcome(rollout.service, rollout.target, rollout.key)
        if state is None:
            return None
        if state is VersionState.ROLLED_BACK:
            return RolloutState(RolloutPhase.ROLLED_BACK)
        return RolloutState(RolloutPhase.COMPLETED, 1.0)

    def handle_version(self, service: str) -> None:
        """Apply what another instance knows of a service's versions."""
        if service in self.fleet.splits:
            self.apply(self.fleet.splits[service].rollout)

    def maintain_versions(self) -> None:
        """Once in a while, keep the records of listed versions and drop old ones."""
        if now() - self.maintained_at < MAINTENANCE_SECONDS:
            return
        self.maintained_at = now()
        listed = {
            service: {upstream.record.version for upstream in upstreams.values()}
            for service, upstreams in self.fleet.services.items()
        }
        self.versions.maintain(listed, unix_time())

    def rejection_reason(self, rollout: Rollout) -> str | None:
        """Why an instance rejected the target version, or None if none has."""
        verdict = self.fact_table.value(VERDICT_PREFIX + rollout.key)
        return verdict[1] if verdict else None

    def handle_fact(self, key: str, value: Any) -> None:
        """Stop sending calls to a version that another instance has rejected."""
        for split in list(self.fleet.splits.values()):
            if key == VERDICT_PREFIX + split.rollout.key:
                self.apply(split.rollout)

    def record_call(
        self, upstream: Upstream, route: Route, outcome: CallOutcome | None, elapsed: float
    ) -> None:
        """Count the outcome of a call to a service with a rollout; None if it was cancelled."""
        split = self.fleet.splits.get(upstream.record.service)
        if split is None or split.rollout.state.ended:
            return
        unproven = self.versions.unproven.get(upstream.record.service, frozenset())
        if split.is_target(upstream) or upstream.record.version not in unproven:
            self.evidence[upstream.record.service].record_call(upstream, route, outcome, elapsed)

    def evaluate(self, rollout: Rollout) -> None:
        """Publish a verdict if what all instances have counted rejects the target."""
        in_service = self.fleet.splits[rollout.service].target_in_service
        if in_service or self.rejection_reason(rollout) is not None:
            return
        reason = self.evidence[rollout.service].find_fault() or self.find_excess(rollout)
        if reason is not None:
            json_log.info("version bad", service=rollout.service, target=rollout.target, why=reason)
            self.fact_table.publish(
                VERDICT_PREFIX + rollout.key, [unix_time(), reason], urgent=True
            )
            self.apply(rollout)

    def find_excess(self, rollout: Rollout) -> str | None:
        """Why the target may get no more calls although nothing speaks against it, or None.

        The stored state may not follow for long, while the store is unavailable.
        """
        split = self.fleet.splits[rollout.service]
        if split.weight <= 0.0 or not split.may_decide(now(), JOINING_SECONDS):
            return None
        seconds_left = rollout.time_limit_seconds - split.elapsed(now(), unix_time())
        if seconds_left <= 0.0:
            return OVERDUE
        exposure = self.evidence[rollout.service].exposure()
        is_spent = exposure.remaining(self.fleet.bounds, seconds_left) <= 0.0
        return EXHAUSTED if is_spent else None

    def handle_exposure(self, key: str, value: Any) -> None:
        """Take the time since the order from an instance that has seen it."""
        for split in self.fleet.splits.values():
            if key.startswith(f"{EXPOSURE_PREFIX}{split.rollout.key}/"):
                split.record_elapsed(value[-1], now())

    def log_exposure(self) -> None:
        """Log once a second what the targets of the rollouts have had."""
        if now() - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now()
        for item in self.active():
            self.evidence[item.value.service].log(item.value)

    def confirm(self, item: WatchedItem) -> None:
        """Confirm to the other instances once no call at another version is left."""
        rollout = item.value
        split = self.fleet.splits[rollout.service]
        if rollout.state.phase is not RolloutPhase.FINISHING or split.weight < 1.0:
            return
        if not any(
            upstream.in_flight
            for upstream in self.fleet.services.get(rollout.service, {}).values()
            if not split.is_target(upstream)
        ):
            key = f"{CONFIRMED_PREFIX}{rollout.key}/{self.peers.name}"
            self.fact_table.publish(key, item.revision, urgent=True)

    def confirmed_by_all(self, item: WatchedItem) -> bool:
        """Whether every live instance has confirmed the revision of a rollout, or fell silent."""
        rollout = item.value
        return all(
            (self.fact_table.value(f"{CONFIRMED_PREFIX}{rollout.key}/{name}") or 0) >= item.revision
            or self.is_silent(rollout, name)
            for name in self.peers.alive_names()
        )

    def is_silent(self, rollout: Rollout, name: str) -> bool:
        """Whether an instance no longer shares its counts, so that it has most likely ended.

        The last step is shorter than the time in which the membership shows that.
        """
        split = self.fleet.splits[rollout.service]
        if now() - split.state_changed_at <= SILENT_SECONDS:
            return False
        told = self.evidence[rollout.service].last_told(name)
        return told is not None and split.elapsed(now(), unix_time()) - told > SILENT_SECONDS

    def has_capacity(self, split: VersionSplit) -> bool:
        """Whether the target's warm upstreams have enough slots compared to the others."""
        slots = {True: 0, False: 0}
        unproven = self.versions.unproven.get(split.rollout.service, frozenset())
        for upstream in self.fleet.services.get(split.rollout.service, {}).values():
            if not split.is_target(upstream) and upstream.record.version in unproven:
                continue
            if not upstream.leaving and not upstream.cold(now()):
                slots[split.is_target(upstream)] += upstream.record.slots
        return slots[True] > 0 and slots[True] >= MIN_CAPACITY_SHARE * slots[False]

    def observe(self, item: WatchedItem) -> RolloutObservation:
        """Observations of this instance for `next_state`."""
        rollout = item.value
        split = self.fleet.splits[rollout.service]
        evidence = self.evidence[rollout.service]
        return RolloutObservation(
            split.elapsed(now(), unix_time()),
            now() - split.state_changed_at,
            self.rejection_reason(rollout),
            self.has_capacity(split),
            self.confirmed_by_all(item),
            evidence.exposure(),
            evidence.find_doubt(),
            evidence.counted_here.typical_seconds,
            self.peers.alive_count(),
            split.target_in_service,
        )

    def advance(self, item: WatchedItem) -> None:
        """Write the next state when it is due, delayed by this instance's rank."""
        rollout = item.value
        if not self.fleet.splits[rollout.service].may_decide(now(), JOINING_SECONDS):
            return
        state = self.outcome(rollout) or next_state(
            rollout, self.observe(item), self.fleet.bounds, unix_time()
        )
        if state is None:
            self.due_since.pop(rollout.service, None)
            return
        due = self.due_since.setdefault(rollout.service, now())
        is_late = rollout.state.phase in LATE_PHASES
        stagger = LATE_WRITE_STAGGER_SECONDS if is_late else WRITE_STAGGER_SECONDS
        if now() - due >= stagger * self.peers.rank() and rollout.service not in self.writing:
            self.writing.add(rollout.service)
            self.tasks.spawn(self.write(item, state), "write rollout")

    async def write(self, item: WatchedItem, state: RolloutState) -> None:
        """Write the next state, unless another instance has changed the stored one."""
        service = item.value.service
        self.metrics.count("rollout_writes")
        try:
            rollout = item.value._replace(versions=self.versions.of(service))
            written = await self.store.write_rollout(item._replace(value=rollout), state)
        except Problem as problem:
            json_log.info("rollout not written", service=service, error=problem.message)
            self.due_since[service] = now()
            return
        finally:
            self.writing.discard(service)
        self.due_since.pop(service, None)
        json_log.info(
            "rollout written",
            service=service,
            phase=str(state.phase),
            weight=state.weight,
            elapsed=round(state.elapsed, 2),
            revision=written.revision,
        )
        self.state_cache.put_if_newer(WatchedKind.ROLLOUTS, written)
