"""What this instance and the others have counted about the target version of one rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now, unix_time
from mimosahoist.forward.outcomes import Answered, LossKind, Lost, Refused, Unreached
from mimosahoist.forward.rollout_exposure import (
    EXPOSURE_PREFIX,
    Exposure,
    ExposureHistory,
    merge_exposure,
)
from mimosahoist.moves.evidence import (
    EVIDENCE_PREFIX,
    SAMPLES_PREFIX,
    EvidenceHistory,
    MoveEvidence,
    merge_records,
)
from mimosahoist.moves.sequential_test import DOUBT_LOG_LIKELIHOOD_RATIO

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.outcomes import CallOutcome
    from mimosahoist.forward.rollout import Rollout
    from mimosahoist.forward.upstream import Upstream
    from mimosahoist.forward.version_split import VersionSplit
    from mimosahoist.moves.evidence import Window
    from mimosahoist.peers.facts import FactTable


class RolloutEvidence:
    """Outcomes and numbers of calls during one rollout, exchanged with the other instances.

    Attributes
    ----------
    counted_here : MoveEvidence
        Outcomes of this instance's calls to both versions.
    history, exposure_history : EvidenceHistory, ExposureHistory
        Counts of all instances over the last seconds.
    """

    def __init__(
        self, rollout: Rollout, split: VersionSplit, instance: str, fact_table: FactTable
    ) -> None:
        self.key = rollout.key
        self.split = split
        self.instance = instance
        self.fact_table = fact_table
        self.counted_here = MoveEvidence("", rollout.target)
        self.history = EvidenceHistory()
        self.exposure_history = ExposureHistory()

    def record_call(
        self, upstream: Upstream, route: Route, outcome: CallOutcome | None, elapsed: float
    ) -> None:
        """Count the outcome of a call; None if it was cancelled.

        Answers of cold upstreams count only as failures, because those are slow at any version;
        refusals and failed connections say nothing about the version.
        """
        is_failure = isinstance(outcome, Answered) and not outcome.is_success
        if upstream.cold(now()) and not is_failure:
            return
        if isinstance(outcome, Refused | Unreached) or outcome == Lost(LossKind.ABANDONED):
            return
        counter = self.counted_here.counter(route.name)
        counter.record(
            self.split.is_target(upstream),
            is_failure or isinstance(outcome, Lost),
            elapsed,
            outcome is not None,
        )

    def publish(self, urgent: bool) -> None:
        """Share what this instance has counted."""
        for name, record in self.counted_here.records().items():
            self.publish_record(
                f"{EVIDENCE_PREFIX}{self.key}/{self.instance}/{name}", record, urgent
            )
        for name, record in self.counted_here.samples().items():
            self.publish_record(
                f"{SAMPLES_PREFIX}{self.key}/{self.instance}/{name}", record, urgent
            )
        self.counted_here.share_baselines(self.fact_table.values(f"{SAMPLES_PREFIX}{self.key}/"))
        split = self.split
        if split.numbers.requests:
            key = f"{EXPOSURE_PREFIX}{self.key}/{self.instance}/{self.counted_here.id}"
            elapsed = split.elapsed(now(), unix_time())
            record = [unix_time(), *split.numbers, elapsed]
            self.publish_record(key, record, urgent)

    def publish_record(self, key: str, record: list[float], urgent: bool) -> None:
        """Share a record if it has grown since the last time."""
        held = self.fact_table.value(key)
        if held is None or list(held[1:]) != record[1:]:
            self.fact_table.publish(key, record, urgent=urgent)

    def merged(self) -> dict[str, Window]:
        """Outcomes counted by all instances, by route."""
        return merge_records(self.fact_table.values(f"{EVIDENCE_PREFIX}{self.key}/"))

    def find_fault(self) -> str | None:
        """Why the outcomes reject the target, or None."""
        merged = self.merged()
        self.history.add(now(), merged)
        return self.history.find_fault(now(), merged)

    def find_doubt(self) -> str | None:
        """Why the target cannot be accepted yet, or None."""
        return self.history.find_fault(now(), self.merged(), DOUBT_LOG_LIKELIHOOD_RATIO)

    def exposure(self) -> Exposure:
        """What the target has had from all instances together."""
        numbers = merge_exposure(self.fact_table.values(f"{EXPOSURE_PREFIX}{self.key}/"))
        self.exposure_history.add(now(), numbers.requests)
        elapsed = self.split.elapsed(now(), unix_time())
        return Exposure(numbers, self.exposure_history.rate(numbers.requests, elapsed))

    def log(self, rollout: Rollout) -> None:
        """Log what the target has had, and what speaks against it."""
        exposure = self.exposure()
        json_log.info(
            "rollout calls",
            service=rollout.service,
            phase=str(rollout.state.phase),
            elapsed=round(self.split.elapsed(now(), unix_time()), 2),
            here=self.split.numbers._asdict(),
            all=exposure.numbers._asdict(),
            rate=round(exposure.request_rate, 1),
            doubt=self.find_doubt(),
        )

    def last_told(self, instance: str) -> float | None:
        """Seconds from the order to an instance's latest record; None if it has sent nothing."""
        records = self.fact_table.values(f"{EXPOSURE_PREFIX}{self.key}/{instance}/")
        return max((value[-1] for _, value in records), default=None)
