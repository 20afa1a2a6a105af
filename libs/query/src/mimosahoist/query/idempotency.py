"""Records of keyed requests in the platform's store."""

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

POLL_SECONDS = 0.05
SAVE_RETRY_SECONDS = 0.5
SAVE_ATTEMPTS = 120


class Claim(NamedTuple):
    """The right to run a keyed request once."""

    key: str
    version: int
    record: IdempotencyRecord


class Replay(NamedTuple):
    """The stored answer of an earlier run."""

    answer: str


class IdempotencyStore:
    """Claims keys by conditional creation, so that of all instances only one runs a request."""

    def __init__(self, store: PlatformStore, instance: str, metrics: Metrics) -> None:
        self.store = store
        self.instance = instance
        self.metrics = metrics
        self.tasks = TaskSet()

    async def close(self) -> None:
        """Stop saving in the background."""
        await self.tasks.close()

    async def claim(
        self, scope: str, key: str, body: bytes, request_id: str, deadline: float
    ) -> Claim | Replay:
        """Get the right to run a request, or the answer of its earlier run.

        Parameters
        ----------
        scope : str
            Organisation, service and caller within which the key is unique.
        key : str
            The caller's idempotency key.
        body : bytes
            Canonical body; the same key with another body is an error.
        request_id : str
            Makes the record's owner unique.
        deadline : float
            Loop time until which to wait for a run in progress.

        Raises
        ------
        Problem
            If the key was used with another body, its run is in progress or its outcome is
            unknown, or the store gives no answer.
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
            stored = await self.create(name, record, expected)
            if stored.value["owner"] == record["owner"]:
                return Claim(name, stored.version, record)
            found = await self.judge(stored, record, deadline)
            if found is not None:
                return found
            expected = stored.version

    async def create(self, name: str, record: IdempotencyRecord, expected: int) -> StoredObject:
        """Write the record if nobody else did; return what the store holds then.

        An answer that was lost is settled by reading back.
        """
        try:
            return await self.store.put(name, dict(record), expected)
        except Problem as problem:
            if problem.kind is ProblemKind.STORE:
                self.metrics.count("idempotency_read_back")
        try:
            stored = await self.store.get(name)
        except Problem as problem:
            self.tasks.spawn(self.release_unsent(name, record), "release claim")
            raise store_down() from problem
        if stored is None:
            raise store_down()
        return stored

    async def judge(
        self, stored: StoredObject, record: IdempotencyRecord, deadline: float
    ) -> Replay | None:
        """What another owner's record means: a replay, None if free, or a Problem."""
        while True:
            held = msgspec.convert(stored.value, IdempotencyRecord)
            if held["body_hash"] != record["body_hash"]:
                raise key_reused()
            if held["state"] == "done":
                self.metrics.count("idempotency_replays")
                return Replay(held["answer"])
            if held["state"] == "released":
                return None
            if held["state"] == "unknown" or now() + POLL_SECONDS >= deadline:
                raise outcome_unknown()
            await asyncio.sleep(POLL_SECONDS)
            try:
                stored = await self.store.get(stored.key) or stored
            except Problem:
                continue

    async def finish(self, claim: Claim, state: str, answer: str, wait: float) -> None:
        """Store what became of a claim, waiting at most `wait` seconds for it.

        The save goes on in the background if the store is slow or down.
        """
        record = IdempotencyRecord(**{**claim.record, "state": state, "answer": answer})
        task = self.tasks.spawn(self.save(claim, record), "save outcome")
        await asyncio.wait([task], timeout=max(0.0, wait))

    async def save(self, claim: Claim, record: IdempotencyRecord) -> None:
        """Write a record until the store has it."""
        for _ in range(SAVE_ATTEMPTS):
            try:
                await self.store.put(claim.key, dict(record), claim.version)
                return
            except Problem as problem:
                if problem.kind is ProblemKind.CONFLICT:
                    return
            await asyncio.sleep(SAVE_RETRY_SECONDS)
        self.metrics.count("idempotency_save_given_up")

    async def release_unsent(self, name: str, record: IdempotencyRecord) -> None:
        """Free a claim that may have been stored, though its request was never sent."""
        for _ in range(SAVE_ATTEMPTS):
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
    """Problem for a key that came with another body."""
    return Problem(
        ProblemKind.KEY_REUSED,
        "the idempotency key was used before with another body",
        "use a new key for a new request",
    )


def outcome_unknown() -> Problem:
    """Problem for a request that may or may not have run."""
    return Problem(
        ProblemKind.UNKNOWN,
        "an earlier request with this key was started and its outcome is not known",
        "ask the service itself whether it took effect before sending a new key",
        RunState.UNKNOWN,
    )


def store_down() -> Problem:
    """Problem for a keyed request while the store gives no answer."""
    return Problem(
        ProblemKind.STORE,
        "the platform's store gave no answer, so the key cannot be checked",
        "send the same request with the same key again later",
    )
