"""A bad version that was rolled back gets traffic again as soon as the next version is ordered."""

from __future__ import annotations

import asyncio
import itertools
import time

from harness import ZONES, Deployment, Record, Reply, Request, Searcher, has_trouble, main, plain_route

INSTANCES = 8
REQUESTS_PER_SECOND = 102
SLOWDOWN = 3.0
WORK_SECONDS = 0.167
DURATION_SECONDS = 20.0
LOAD_PER_S = 3
NEXT_ORDER_SECONDS = 1.0
DRAIN_AFTER_SECONDS = 9.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
BAD_ANSWERS = 50


class Watch:
    """Requests that reached the service, and the bad answers of version v2."""

    def __init__(self) -> None:
        self.arrivals: list[tuple[float, str, str]] = []
        self.bad_at: list[float] = []
        self.sent: dict[str, float] = {}
        self.late: list[tuple[float, str, str]] = []

    def arrived(self, searcher: Searcher, request: Request) -> None:
        """Count an arrival; one at v2 may be later than the rule allows."""
        at = time.monotonic()
        self.arrivals.append((at, searcher.version, request.headers["attempt-id"]))
        if searcher.version != "v2" or len(self.bad_at) < BAD_ANSWERS:
            return
        sent = float(request.headers["sent-at"])
        after = sent - self.bad_at[BAD_ANSWERS - 1]
        if after > ROLLBACK_SECONDS:
            self.late.append((after, request.headers["attempt-id"], searcher.name))

    async def serve(self, searcher: Searcher, request: Request) -> Reply:
        """Answer; v2 is several times slower under load."""
        at = time.monotonic()
        is_bad = searcher.version == "v2" and sum(at - 1.0 < arrival for arrival in searcher.arrivals) > LOAD_PER_S
        await asyncio.sleep(searcher.work_seconds * (SLOWDOWN if is_bad else 1.0))
        if is_bad:
            self.bad_at.append(time.monotonic())
        return Reply(200, searcher.stamped(request.headers["attempt-id"]), b"ok")


async def order(deployment: Deployment, watch: Watch, version: str) -> list[Searcher]:
    """Start the searchers of a version and order the rollout to it."""
    searchers = [
        await deployment.add_searcher(
            Searcher(
                f"i-desk-{version}-{zone}-{number}",
                "desk",
                zone,
                deployment.record,
                version=version,
                slots=3,
                work_seconds=WORK_SECONDS,
                handler=watch.serve,
                arrival_listener=watch.arrived,
            )
        )
        for number, zone in enumerate((*ZONES, *ZONES[:2]))
    ]
    if version != "v1":
        spec = {"service": "desk", "target_version": version, "duration_s": DURATION_SECONDS}
        deployment.store.put("rollouts", "desk", spec)
        deployment.record.say(f"rollout of desk to {version} ordered, {DURATION_SECONDS} s")
    return searchers


def state(deployment: Deployment) -> str:
    """State of the rollout, as the system wrote it."""
    item = deployment.store.objects("rollouts")["desk"]
    status = item["status"] or {}
    return status.get("state", "") if status.get("target_version") == item["spec"]["target_version"] else ""


async def case(deployment: Deployment, record: Record) -> bool:
    """Order a bad version, wait until it is rolled back, and order the next one."""
    watch = Watch()
    await order(deployment, watch, "v1")
    deployment.configure(
        5,
        [plain_route("desk", prefix, "idempotent") for prefix in ("/book/", "/move/")],
        [{"name": "desk", "health_path": "/health", "max_connections": 110}],
    )
    await deployment.start_instances(INSTANCES)
    stopped = asyncio.Event()
    tasks: list[asyncio.Task[None]] = []

    async def send() -> None:
        started = time.monotonic()
        for number in itertools.count():
            if stopped.is_set():
                return
            path = f"/{'book' if number % 2 else 'move'}/{number}"
            instance = deployment.instances[number * 5 // 2 % INSTANCES]
            tasks.append(asyncio.create_task(deployment.attempt(instance, path)))
            await asyncio.sleep(max(0.0, started + number / REQUESTS_PER_SECOND - time.monotonic()))

    sender = asyncio.create_task(send())
    await asyncio.sleep(4.0)
    bad = await order(deployment, watch, "v2")
    ordered = time.monotonic()
    while state(deployment) != "rolled_back":
        if state(deployment) == "completed" or time.monotonic() > ordered + DURATION_SECONDS + 5.0:
            raise RuntimeError(f"v2 was not rolled back: {state(deployment)}")
        await asyncio.sleep(0.02)
    rolled_back = time.monotonic()
    record.say(f"v2 rolled back after {rolled_back - ordered:.2f} s and {len(watch.bad_at)} bad answers")
    if has_trouble():
        await asyncio.sleep(NEXT_ORDER_SECONDS)
        await order(deployment, watch, "v3")
    await asyncio.sleep(rolled_back + DRAIN_AFTER_SECONDS - time.monotonic())
    for searcher in bad:
        deployment.register(searcher, state="draining")
    record.say(f"v2 drains {DRAIN_AFTER_SECONDS} s after it was rolled back")
    await asyncio.sleep(max(6.0, ordered + DURATION_SECONDS - time.monotonic()))
    stopped.set()
    await sender
    await asyncio.gather(*tasks)
    record.say(f"state of the last order: {state(deployment)}")
    return judge(watch, record, ordered, rolled_back)


def judge(watch: Watch, record: Record, ordered: float, rolled_back: float) -> bool:
    """Check both bounds of EXPOSURE for v2; the share by requests and not by repeats."""
    in_time = [item for item in watch.arrivals if ordered <= item[0] <= ordered + DURATION_SECONDS]
    reached = {attempt for _, _, attempt in in_time}
    got = len({attempt for _, version, attempt in in_time if version == "v2"})
    allowed = EXPOSURE_SHARE * len(reached) + EXPOSURE_SLACK
    after = sum(at > rolled_back + 0.5 and version == "v2" for at, version, _ in watch.arrivals)
    record.say(f"from order to deadline {len(reached)} requests, {got} at v2, {allowed:.0f} allowed")
    record.say(f"{after} arrivals at v2 later than 0.5 s after it was rolled back, {len(watch.bad_at)} bad answers")
    for second in range(int(DRAIN_AFTER_SECONDS)):
        start = rolled_back + second
        in_second = [version for at, version, _ in watch.arrivals if start <= at < start + 1.0]
        record.say(f"second {second + 1} after the roll-back: {len(in_second)} arrivals, {in_second.count('v2')} at v2")
    if watch.late:
        record.say(
            f"BROKEN {len(watch.late)} requests at v2 sent later than {ROLLBACK_SECONDS} s after its "
            f"{BAD_ANSWERS}th bad answer, the last {max(watch.late)[0]:.2f} s after it"
        )
    if got > allowed:
        record.say(f"BROKEN {got} requests at v2, {allowed:.0f} allowed")
    return not watch.late and got <= allowed


if __name__ == "__main__":
    main(case, __file__)
