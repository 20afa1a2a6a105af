"""A search's side of delegation: collects the parts that other instances fetch for it."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from mimosahoist.core.tasks import now
from mimosahoist.forward.delegation import (
    FAILED_SHARDS_HEADER,
    PENDING_SHARDS_HEADER,
    REFUSED_SHARDS_HEADER,
    decode_shards,
)
from mimosahoist.forward.engine import certainly_not_run
from mimosahoist.forward.outcomes import Answered
from mimosahoist.forward.shard_search import Part

if TYPE_CHECKING:
    from mimosahoist.forward.delegation import Delegate, Delegation
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.shard_search import ShardSearch

DELEGATION_ROUND_TRIP_SECONDS = 0.02


class DelegatingSearch(ABC):
    """What a search provides for its delegated calls.

    Attributes
    ----------
    shards : list of ShardSearch
        All shards of the search.
    changed : asyncio.Event
        Set when a call has ended.
    """

    engine: ForwardEngine
    request: CallerRequest
    shards: list[ShardSearch]
    changed: asyncio.Event

    @property
    @abstractmethod
    def is_over(self) -> bool:
        """Whether the search has ended or its deadline has passed, so that no part is needed."""

    @abstractmethod
    def count_request(self, shard: ShardSearch) -> None:
        """Count the request once in the service's repeat budget, however often sending fails."""

    @abstractmethod
    def send_replacement(self, shard: ShardSearch) -> None:
        """Send the next call of a shard now, or retry shortly if no upstream has capacity."""


class DelegatedGather:
    """First calls of one search that instances in other failure domains make.

    Hedges and retries are sent by the search itself.
    """

    def __init__(self, search: DelegatingSearch, delegation: Delegation) -> None:
        self.search = search
        self.delegation = delegation
        self.engine = search.engine
        self.request = search.request

    def start(self, delay: float) -> None:
        """Delegate first calls of shards this failure domain lacks to domains that hold them.

        Parameters
        ----------
        delay : float
            Seconds after which a call is hedged.
        """
        by_name = {shard.service: shard for shard in self.search.shards}
        for delegate in self.delegation.assign_delegates(list(by_name)):
            group = [by_name[name] for name in delegate.shards]
            task = self.engine.tasks.spawn(
                self.call_delegate(delegate, group, delay), "call delegate"
            )
            for shard in group:
                self.search.count_request(shard)
                shard.sends = 1
                shard.calls[task] = delegate.target
                shard.next_send = now() + delay + DELEGATION_ROUND_TRIP_SECONDS

    async def call_delegate(
        self, delegate: Delegate, group: list[ShardSearch], delay: float
    ) -> None:
        """Collect the parts that another instance fetches, polling for those still pending."""
        task = asyncio.current_task()
        pending = {shard.service: shard for shard in group}
        may_have_run = True
        try:
            outcome = await self.delegation.fetch_parts(delegate, self.request, delay, first=True)
            may_have_run = not certainly_not_run(outcome)
            while isinstance(outcome, Answered) and self.accept_update(outcome, pending, task):
                left = self.request.deadline - now()
                outcome = await self.delegation.fetch_parts(
                    delegate, self.request, left, first=False
                )
        finally:
            for shard in pending.values():
                shard.calls.pop(task, None)
                shard.runs += may_have_run
            self.search.changed.set()
        for shard in pending.values():
            self.replace_failed_call(shard, may_have_run)

    def accept_update(
        self, answer: Answered, pending: dict[str, ShardSearch], task: asyncio.Task[None] | None
    ) -> bool:
        """Process an answer of the other instance; return whether to poll again.

        Shards that the other instance has finished are removed from `pending`.
        """
        later = decode_shards(answer.headers.get(PENDING_SHARDS_HEADER, ""))
        failed = decode_shards(answer.headers.get(FAILED_SHARDS_HEADER, ""))
        refused = decode_shards(answer.headers.get(REFUSED_SHARDS_HEADER, ""))
        done = [pending.pop(name) for name in list(pending) if name not in later]
        for shard in done:
            shard.calls.pop(task, None)
        answered = [
            shard for shard in done if shard.service not in failed and shard.service not in refused
        ]
        if not self.accept_parts(answered, answer):
            for shard in answered:
                self.record_delegated_failure(shard, "", True, True)
        for shard in done:
            if shard.service in refused:
                self.engine.record_refusal(refused[shard.service])
                self.record_delegated_failure(shard, "", True, False)
            elif shard.service in failed:
                upstream = failed[shard.service]
                self.record_delegated_failure(shard, upstream, bool(upstream), bool(upstream))
        for name, shard in pending.items():
            shard.tried.add(later[name])
            if len(shard.calls) == 1:
                shard.next_send = min(shard.next_send, now())
        self.search.changed.set()
        return any(shard.part is None for shard in pending.values()) and not self.search.is_over

    def record_delegated_failure(
        self, shard: ShardSearch, upstream: str, was_sent: bool, may_have_run: bool
    ) -> None:
        """Record a shard's failed call at the other instance, and replace it if needed.

        Parameters
        ----------
        upstream : str
            Upstream that may have run the call, or "".
        was_sent : bool
            Whether the call arrived at an upstream, so that its replacement is a repeat.
        """
        shard.runs += may_have_run
        if upstream:
            shard.tried.add(upstream)
        self.replace_failed_call(shard, was_sent)

    def replace_failed_call(self, shard: ShardSearch, was_sent: bool) -> None:
        """Replace a shard's failed call, unless it is no longer needed.

        Parameters
        ----------
        was_sent : bool
            Whether the call arrived at an upstream, so that its replacement is a repeat.
        """
        if not was_sent:
            shard.sends -= 1
        if shard.part is None and not shard.calls and not self.search.is_over:
            self.search.send_replacement(shard)

    def accept_parts(self, shards: list[ShardSearch], answer: Answered) -> bool:
        """Store merged parts, replacing parts that single calls returned in the meantime.

        Returns False and stores nothing unless there is exactly one signature for each shard.
        """
        value = answer.headers.get(self.engine.header_names.part_signatures, "")
        signatures = [item.strip() for item in value.split(",") if item.strip()]
        if len(signatures) != len(shards):
            return False
        parts = Part(answer.body, signatures)
        for shard in shards:
            shard.part = parts
            parts = Part(b"", [])
        return True
