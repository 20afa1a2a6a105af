"""Records of requests with an idempotency key, kept in the platform's store."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.platform.kinds import IDEMPOTENCY_PREFIX, IdempotencyRecord

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.platform.store import PlatformStore, StoredObject

IN_PROGRESS_POLL_SECONDS = 0.05
SAVE_RETRY_SECONDS = 0.5
MAX_SAVE_ATTEMPTS = 120


class Claim(NamedTuple):
    """The exclusive right to run a request with an idempotency key."""

    key: str
    version: int
    record: IdempotencyRecord


class Replay(NamedTuple):
    """The stored answer of a previous run."""

    answer: str


class IdempotencyStore:
    """Claims keys by conditional writes, so that only one instance runs a request."""

    def __init__(self, store: PlatformStore, instance: str, metrics: Metrics) -> None:
        self.store = store
        self.instance = instance
        self.metrics = metrics
        self.tasks = TaskSet()

    async def close(self) -> None:
        """Cancel background writes."""
        await self.tasks.close()

    async def claim(
        self, scope: str, key: str, body: bytes, request_id: str, deadline: float
    ) -> Claim | Replay:
        """Claim the right to run a request, or get the answer of its previous run.

        Parameters
        ----------
        scope : str
            Organisation, service and caller; keys are unique within this scope.
        key : str
            The caller's idempotency key.
        body : bytes
            Canonical request body; reusing a key with a different body is an error.
        request_id : str
            Makes the owner of the record unique per request.
        deadline : float
            Event loop time until which to wait for a run in progress.

        Raises
        ------
        Problem
            If the key was used with a different body, if its run is still in progress or its
            outcome is unknown, or if the store does not respond.
        """
        name = IDEMPOTENCY_PREFIX + hashlib.sha256(f"{scope}\n{key}".encode()).hexdigest()
        record = IdempotencyRecord(
            body_hash=hashlib.sha256(body).hexdigest(),
            state="started",
            owner=f"{self.instance}/{request_id}",
            status=0,
            answer="",
        )
        expected = 0
        while True:
            stored = await self.create_or_read(name, record, expected)
            if stored.value["owner"] == record["owner"]:
                return Claim(name, stored.version, record)
            found = await self.resolve_existing(stored, record, deadline)
            if found is not None:
                return found
            expected = stored.version

    async def create_or_read(
        self, name: str, record: IdempotencyRecord, expected: int
    ) -> StoredObject:
        """Write the record unless another owner did, and return the stored record.

        If the store's response to the write is lost, reading the record back shows whether the
        write took effect.
        """
        try:
            return await self.store.put(name, dict(record), expected)
        except Problem as problem:
            if problem.kind is ProblemKind.STORE:
                self.metrics.count("idempotency_read_back")
        try:
            stored = await self.store.get(name)
        except Problem as problem:
            self.tasks.spawn(self.release_unsent_claim(name, record), "release claim")
            raise store_unavailable() from problem
        if stored is None:
            raise store_unavailable()
        return stored

    async def resolve_existing(
        self, stored: StoredObject, record: IdempotencyRecord, deadline: float
    ) -> Replay | None:
        """Resolve another owner's record.

        Returns the stored answer as a replay, or None if the key may be claimed. Polls a run in
        progress until the deadline and raises a Problem in all other cases.
        """
        while True:
            held = msgspec.convert(stored.value, IdempotencyRecord)
            if held["body_hash"] != record["body_hash"]:
                raise key_reused()
            if held["state"] == "done":
                self.metrics.count("idempotency_replays")
                return Replay(held["answer"])
            if held["state"] == "released":
                return None
            if held["state"] == "unknown" or now() + IN_PROGRESS_POLL_SECONDS >= deadline:
                raise outcome_unknown()
            await asyncio.sleep(IN_PROGRESS_POLL_SECONDS)
            try:
                stored = await self.store.get(stored.key) or stored
            except Problem:
                continue

    async def store_outcome(self, claim: Claim, state: str, answer: str, wait: float) -> None:
        """Store the outcome of a claimed run, waiting at most `wait` seconds.

        If the store is slow or unavailable, the write continues in the background.
        """
        record = IdempotencyRecord(**{**claim.record, "state": state, "answer": answer})
        task = self.tasks.spawn(self.save_with_retries(claim, record), "save outcome")
        await asyncio.wait([task], timeout=max(0.0, wait))

    async def save_with_retries(self, claim: Claim, record: IdempotencyRecord) -> None:
        """Write a record, retrying until the store accepts it or the attempts are used up."""
        for _ in range(MAX_SAVE_ATTEMPTS):
            try:
                await self.store.put(claim.key, dict(record), claim.version)
                return
            except Problem as problem:
                if problem.kind is ProblemKind.CONFLICT:
                    return
            await asyncio.sleep(SAVE_RETRY_SECONDS)
        self.metrics.count("idempotency_save_given_up")

    async def release_unsent_claim(self, name: str, record: IdempotencyRecord) -> None:
        """Release a claim that may have been stored although its request was never sent."""
        for _ in range(MAX_SAVE_ATTEMPTS):
            await asyncio.sleep(SAVE_RETRY_SECONDS)
            try:
                stored = await self.store.get(name)
                if stored is not None and stored.value == dict(record):
                    released = IdempotencyRecord(**{**record, "state": "released"})
                    await self.store.put(name, dict(released), stored.version)
                return
            except Problem:
                continue


def key_reused() -> Problem:
    """Problem for a key that was reused with a different body."""
    return Problem(
        ProblemKind.KEY_REUSED,
        "the idempotency key was already used with a different body",
        "use a new key for a new request",
    )


def outcome_unknown() -> Problem:
    """Problem for a request that may or may not have run."""
    return Problem(
        ProblemKind.UNKNOWN,
        "a previous request with this key was started and its outcome is unknown",
        "check with the service whether it took effect before sending a new key",
        RunState.UNKNOWN,
    )


def store_unavailable() -> Problem:
    """Problem for a request with an idempotency key while the store does not respond."""
    return Problem(
        ProblemKind.STORE,
        "the platform's store gave no answer, so the idempotency key cannot be checked",
        "retry later with the same body and key",
    )
