"""Sends this instance's counts to those that add them up, and reports the sums."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, boot_time
from mimosahoist.forward.organisations.steady_clock import SteadyClock
from mimosahoist.forward.organisations.usage_collector import InstanceCounts, UsageCollector
from mimosahoist.forward.organisations.usage_duty import DutyNews, UsageDuty
from mimosahoist.forward.organisations.usage_meter import UsageMeter
from mimosahoist.peers.facts import FactKind
from mimosahoist.peers.inquiries import InquiryHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.organisations.usage_duty import DutyRecord, UsageSettings
    from mimosahoist.forward.organisations.usage_platform import UsagePlatform
    from mimosahoist.forward.peers import Peers

USAGE_TOPIC = "usage"
DUTY_KEY = "usage-duty"
# Instances beside the holder that hold all counts, so that they can take the duty over.
SPARE_COLLECTORS = 3
SEND_INTERVAL_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 0.4
STEP_INTERVAL_SECONDS = 0.25
# Requests of a window whose calls were all refused are taken out until then.
CLOSING_SECONDS = 1.0
# At its start an instance does not know its rank yet.
JOINING_SECONDS = 2.0
READ_INTERVAL_SECONDS = 1.0
MAX_RETRY_SECONDS = 2.0


class DutyFacts(FactKind):
    """Token, last window and holder; the greatest wins."""

    prefix = DUTY_KEY

    def valid(self, value: Any) -> bool:
        """Whether a received value is well-formed."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 3
            and all(isinstance(number, int) for number in value[:2])
            and isinstance(value[2], str)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the greater one."""
        return max(list(held), list(received))


class UsageReporter(InquiryHandler):
    """Counts, collects and reports the requests of each organisation.

    Attributes
    ----------
    enabled : callable
        Whether the configuration in force declares organisations.
    """

    def __init__(
        self,
        settings: UsageSettings,
        platform: UsagePlatform,
        peers: Peers,
        enabled: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.peers = peers
        self.enabled = enabled
        self.metrics = metrics
        self.tasks = TaskSet()
        self.clock = SteadyClock()
        self.meter = UsageMeter(settings.window_seconds, self.clock)
        self.collector = UsageCollector()
        self.duty = UsageDuty(peers.name, settings)
        self.told: tuple[int, int] = (-1, -1)
        self.started_at = 0.0
        self.next_read_at = 0.0
        self.next_write_at = 0.0
        self.retry_seconds = 0.0
        peers.fact_table.register(DutyFacts(), lambda key, value: self.forget_reported())
        peers.inquiries.register(USAGE_TOPIC, self)

    async def start(self) -> None:
        """Start counting and reporting."""
        self.started_at = boot_time()
        await self.platform.start()
        self.tasks.keep_running(self.run_counts, "send usage counts")
        self.tasks.keep_running(self.run_duty, "report usage")

    async def close(self) -> None:
        """Stop reporting."""
        await self.tasks.close()
        await self.platform.close()

    def news(self) -> DutyNews:
        """Return what the instances know of the duty."""
        return DutyNews(*(self.peers.fact_table.value(DUTY_KEY) or ()))

    def forget_reported(self) -> None:
        """Drop the counts of windows whose sums are fixed."""
        through = self.news().through
        late = self.collector.late_requests
        self.collector.discard_through(through)
        self.meter.discard_through(through)
        self.metrics.count("usage_requests_late", self.collector.late_requests - late)

    def own_counts(self) -> InstanceCounts:
        """Counts of this instance in all windows that are open."""
        closed_through = int(
            (self.clock.unix_time() - CLOSING_SECONDS) // self.settings.window_seconds - 1
        )
        windows = {window: dict(counts) for window, counts in self.meter.windows.items()}
        incarnation = self.peers.exchange.identity.incarnation
        return InstanceCounts(incarnation, self.meter.sequence, closed_through, windows)

    async def run_counts(self) -> None:
        """Send the counts to the collectors whenever they have changed."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
            self.clock.sample()
            if self.enabled():
                await self.send_counts()

    async def send_counts(self) -> None:
        """Send the counts, unless the collectors have them."""
        counts = self.own_counts()
        self.collector.merge(self.peers.name, counts)
        if (counts.sequence, counts.closed_through) == self.told:
            return
        body = [*counts[:3], list(counts.windows.items())]
        answers = await asyncio.gather(
            *(
                self.peers.inquiries.ask(address, USAGE_TOPIC, body, SEND_TIMEOUT_SECONDS)
                for address in self.collector_addresses()
            )
        )
        if all(answers):
            self.told = (counts.sequence, counts.closed_through)

    def collector_addresses(self) -> list[str]:
        """Addresses of the holder and of the next to take over, without this instance."""
        ranked = self.peers.ranked_names()
        holder = self.news().holder
        names = ([holder] if holder in ranked else []) + [name for name in ranked if name != holder]
        chosen = names[: SPARE_COLLECTORS + 1]
        addresses = [self.peers.address_of(name) for name in chosen if name != self.peers.name]
        return [address for address in addresses if address is not None]

    async def answer(self, sender: str, body: Any) -> Any:
        """Take in the counts of another instance."""
        self.collector.merge(sender, decode_counts(body))
        return True

    async def run_duty(self) -> None:
        """Do the duty while this instance holds it, and take it over when it is due."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
            if not self.enabled():
                continue
            try:
                await self.step()
            except Problem:
                self.metrics.count("usage_store_failed")
                # The write may have been carried out, so the store is read before the next one.
                self.duty.stored = None
                self.next_read_at = self.delay_retry()

    def delay_retry(self) -> float:
        """Time of the next try after a failed one."""
        self.retry_seconds = min(MAX_RETRY_SECONDS, 2 * self.retry_seconds or STEP_INTERVAL_SECONDS)
        return boot_time() + self.retry_seconds

    async def step(self) -> None:
        """Do what is due now."""
        if not self.duty.is_holder and not self.should_take_over():
            return
        if self.duty.stored is None or not self.duty.is_holder:
            await self.read()
        if self.duty.stored is None:
            return
        rank = self.rank(self.peers.ranked_names(), self.news())
        if not self.duty.is_holder and not self.duty.may_take_over(boot_time(), rank):
            return
        await self.store_and_send()

    def should_take_over(self) -> bool:
        """Whether the holder seems to have stopped and this instance is one of the next."""
        ranked = self.peers.ranked_names()
        news = self.news()
        rank = self.rank(ranked, news)
        if rank > SPARE_COLLECTORS:
            return False
        if news.through < 0:
            return boot_time() - self.started_at > JOINING_SECONDS * rank
        # A holder that has lost its memory of the duty takes it over like any other.
        live = news.holder in ranked and news.holder != self.peers.name
        return self.duty.is_stalled(news, live, rank, self.clock.unix_time())

    def rank(self, ranked: list[str], news: DutyNews) -> int:
        """Rank of this instance among those that may take the duty over, the holder first."""
        if news.holder == self.peers.name:
            return 0
        return [name for name in ranked if name != news.holder].index(self.peers.name) + 1

    async def read(self) -> None:
        """Read the record, at most once in a while."""
        at = boot_time()
        if at < self.next_read_at:
            return
        self.next_read_at = at + READ_INTERVAL_SECONDS
        self.duty.observe(await self.platform.read(), boot_time())
        if self.duty.stored.record is not None:
            self.tell(self.duty.stored.record)

    async def store_and_send(self) -> None:
        """Fix the counts of windows that are complete, then send all that was not received."""
        through = self.fixed_through()
        names = self.peers.ranked_names()
        new = self.duty.complete_windows(through, self.collector, names, self.clock.unix_time())
        unsent = self.duty.unsent_reports()
        at = boot_time()
        if at < self.next_write_at or not (new or unsent or not self.duty.is_holder):
            return
        taken_over = not self.duty.is_holder
        written = self.duty.next_record(through, new)
        stored = await self.platform.write(written, self.duty.stored)
        if not self.duty.record_write(stored, written, at):
            json_log.info("usage duty lost", holder=stored.record.holder if stored.record else "")
            return
        self.tell(written)
        if taken_over:
            json_log.info("usage duty taken", token=written.token, through=written.through)
        await self.send_reports(written)

    def fixed_through(self) -> int:
        """Last window whose counts are fixed, or the one before the first that counts anything."""
        record = self.duty.stored.record
        through = max(self.news().through, record.through if record is not None else -1)
        if through >= 0:
            return through
        return min(self.collector.first_window(), self.meter.current_window()) - 1

    def tell(self, record: DutyRecord) -> None:
        """Tell the others who holds the duty and which windows are fixed."""
        news = [record.token, record.through, record.holder]
        self.peers.fact_table.publish(DUTY_KEY, news, urgent=True)
        self.forget_reported()

    async def send_reports(self, record: DutyRecord) -> None:
        """Send the reports while the time for it lasts."""
        for report in self.duty.unsent_reports():
            left = self.duty.sending_until() - boot_time()
            if left <= 0 or not await self.platform.send(
                report, self.duty.name, record.token, left
            ):
                self.metrics.count("usage_reports_failed")
                self.next_write_at = self.delay_retry()
                return
            self.duty.sent.add(report.window)
            self.metrics.count("usage_reports_sent")
            json_log.info(
                "usage reported",
                window=report.window,
                token=record.token,
                requests=sum(report.counts.values()),
                organisations=len(report.counts),
                late_seconds=round(self.clock.unix_time() - self.duty.window_end(report.window), 2),
            )
        self.retry_seconds = 0.0
        self.duty.sent = {window for window in self.duty.sent if window > record.through - 1000}

    async def flush(self) -> None:
        """Send the counts once more, because this instance stops."""
        if self.enabled():
            self.told = (-1, -1)
            await self.send_counts()


def decode_counts(body: Any) -> InstanceCounts:
    """Decode the counts that an instance sent.

    Raises
    ------
    ValueError
        If they are malformed.
    """
    try:
        incarnation, sequence, closed_through, windows = body
        counts = InstanceCounts(
            int(incarnation),
            int(sequence),
            int(closed_through),
            {
                int(window): {str(name): int(count) for name, count in counts.items()}
                for window, counts in windows
            },
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"malformed counts: {error}") from error
    return counts
