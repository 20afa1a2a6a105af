"""A booking that has run is answered 503 because a byte of the searcher's load figure is spoiled."""

from __future__ import annotations

import asyncio
import random

from harness import ZONES, Deployment, Record, Reply, Request, Searcher, has_trouble, main, plain_route

BOOKINGS = 600
SPOILED_SHARE = 0.02  # as the site's `garble`: x = 0.02
TOP_BIT = 0x80
PROMISES = (408, 421, 429, 503)
RETRIES = 1


class Spoiler:
    """Searchers that spoil a share of their answers: one byte of Server-Load gets its top bit."""

    def __init__(self) -> None:
        self.rng = random.Random(7)
        self.spoiled = 0

    async def handle(self, searcher: Searcher, request: Request) -> Reply:
        """Run a booking, and spoil its answer now and then."""
        await asyncio.sleep(searcher.work_seconds)
        reply = Reply(200, searcher.stamped(request.headers["attempt-id"]), b"booked")
        if not has_trouble() or self.rng.random() >= SPOILED_SHARE:
            return reply
        self.spoiled += 1
        load = bytearray(f"{searcher.running},{searcher.waiting},{searcher.slots}".encode())
        load[-1] |= TOP_BIT
        return reply._replace(load=bytes(load))


async def book(deployment: Deployment, number: int, violations: list[str]) -> None:
    """Book once; come back, as a client may, only after a promise that the booking has not run."""
    ran = 0
    for attempt_number in range(1 + RETRIES):
        instance = deployment.instances[(number + attempt_number) % len(deployment.instances)]
        answer = await deployment.attempt(instance, f"/book/{number}", "POST", body=b"slot 9")
        runs = deployment.runs_of(answer.attempt)
        ran += len(runs)
        if answer.status in PROMISES and runs:
            violations.append(
                f"attempt {answer.attempt} of booking {number} got {answer.status} "
                f"(Retry-After {answer.headers.get('retry-after')}, {answer.body.decode()!r}) "
                f"and had run {len(runs)} times"
            )
        if answer.status not in PROMISES:
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
    if ran > 1:
        violations.append(f"  booking {number} has run {ran} times in all")


async def case(deployment: Deployment, record: Record) -> bool:
    """Send bookings and check each refusal against the searchers' runs."""
    spoiler = Spoiler()
    for zone in ZONES:
        for number in range(3):
            await deployment.add_searcher(
                Searcher(f"i-desk-{zone}-{number}", "desk", zone, record, slots=3, handler=spoiler.handle)
            )
    deployment.configure(
        5,
        [plain_route("desk", "/book/", "non_idempotent")],
        [{"name": "desk", "health_path": "/health", "max_connections": 110}],
    )
    await deployment.start_instances(4)
    violations: list[str] = []
    tasks = []
    for number in range(BOOKINGS):
        tasks.append(asyncio.create_task(book(deployment, number, violations)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    for violation in violations:
        record.say(f"BROKEN {violation}")
    record.say(f"{BOOKINGS} bookings, {spoiler.spoiled} spoiled answers, {len(violations)} findings")
    return not violations


if __name__ == "__main__":
    main(case, __file__)
