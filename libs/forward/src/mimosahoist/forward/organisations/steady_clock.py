"""Wall clock that follows the time of day without its steps."""

from __future__ import annotations

import statistics
from collections import deque

from mimosahoist.core.tasks import boot_time, unix_time

SAMPLES = 61
SAMPLE_INTERVAL_SECONDS = 1.0


class SteadyClock:
    """Unix time, from the clock that never steps and the usual offset between the two.

    A time of day that jumps and jumps back would put requests into windows that were reported
    already. A lasting change is followed once most samples of the last minute agree with it.
    """

    def __init__(self) -> None:
        self.offsets: deque[float] = deque(maxlen=SAMPLES)
        self.offset = 0.0
        self.sampled_at = 0.0
        self.sample()

    def sample(self) -> None:
        """Compare both clocks, if a sample is due."""
        at = boot_time()
        if self.offsets and at - self.sampled_at < SAMPLE_INTERVAL_SECONDS:
            return
        self.sampled_at = at
        self.offsets.append(unix_time() - at)
        self.offset = statistics.median(self.offsets)

    def unix_time(self) -> float:
        """Return the Unix time in seconds."""
        return boot_time() + self.offset
