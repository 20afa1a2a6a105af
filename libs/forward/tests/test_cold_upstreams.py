"""A fleet of instances and upstreams that are cold, on the paused clock."""

from __future__ import annotations

from announcing_fleet import AMPLE_BUDGET, ModelFleet

from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import ServiceLimits
from mimosahoist.lab.paused_loop import PausedTestCase

BOUNDS = AMPLE_BUDGET._replace(cold_headroom=1.5, cold_slack=5.0)
COLD_SECONDS = 12.0


def most_in_a_second(arrivals: list[float]) -> int:
    return max(sum(first <= at < first + 1.0 for at in arrivals) for first in arrivals)


class ColdUpstreamsTest(PausedTestCase):
    def make_cold(self, fleet: ModelFleet, cold_rate: float) -> None:
        """Turn all upstreams cold at once, as after a crash of all of them."""
        for fixture in fleet.engines:
            fixture.fleet.set_bounds(BOUNDS)
            for upstream in fixture.fleet.by_name.values():
                upstream.limits = ServiceLimits("s0", cold_rate=cold_rate)
                upstream.cold_until = now() + COLD_SECONDS

    async def test_cold_upstream_gets_no_more_than_it_bears_from_any_number_of_instances(
        self,
    ) -> None:
        for instances, gatherers in ((1, 0), (8, 0), (40, 0), (195, 24)):
            for cold_rate in (1.0, 10.0):
                with self.subTest(instances=instances, cold_rate=cold_rate):
                    fleet = ModelFleet(instances, gatherers=gatherers)
                    self.make_cold(fleet, cold_rate)
                    await fleet.run_load(90.0, COLD_SECONDS - 1.0)
                    for searcher in fleet.searchers.values():
                        bound = cold_rate * 1.5 + 5.0
                        self.assertLessEqual(most_in_a_second(searcher.arrivals), bound)
                        mean = len(searcher.arrivals) / COLD_SECONDS
                        self.assertGreater(mean, 0.25 * bound)
