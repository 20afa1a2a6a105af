"""Requests that the target version of a rollout has had, and how many it may have; no I/O.

A version may prove faulty at any time, so the requests that it gets before its rollout ends are
bounded: by a share of all requests to its service between the order and the time limit, plus a
constant number. The sum over all instances counts.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.moves.evidence import CounterFacts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.forward.declarations import SharedBounds

EXPOSURE_PREFIX = "exposure/"
RATE_WINDOW_SECONDS = 10.0
RATE_SAMPLE_SECONDS = 0.25
MIN_RATE_SECONDS = 3.0
# The counts of other instances are a little old, and requests to come may stay away.
ALLOWANCE_MARGIN = 0.9
EXPECTED_CALLS_PER_REQUEST = 1.1


class ExposureFacts(CounterFacts):
    """What an instance has sent since it first saw a rollout; the key ends in ``/INSTANCE/ID``.

    Unix time of the record, the numbers of `CallNumbers`, and seconds since the order.
    """

    prefix = EXPOSURE_PREFIX
    length = 5


class CallNumbers(NamedTuple):
    """Numbers of what was sent to a service since a rollout was ordered.

    Attributes
    ----------
    requests, target_requests : int
        Requests to the service, and those of them whose first call went to the target.
    calls, target_calls : int
        The same with hedges and retries.
    """

    requests: int = 0
    calls: int = 0
    target_requests: int = 0
    target_calls: int = 0

    def plus(self, other: CallNumbers) -> CallNumbers:
        """Return the sum of two instances' numbers."""
        return CallNumbers(*(left + right for left, right in zip(self, other, strict=True)))


class Exposure(NamedTuple):
    """What all instances together have sent during a rollout.

    Attributes
    ----------
    request_rate : float
        Requests a second of late; 0 until it is known.
    """

    numbers: CallNumbers = CallNumbers()
    request_rate: float = 0.0

    def remaining(self, bounds: SharedBounds, seconds_left: float) -> float:
        """Requests that may still go to the target until the time limit, with their repeats.

        The bound holds for requests and for calls.
        """
        numbers = self.numbers
        requests = max(1, numbers.requests)
        growth = 1.0 + self.request_rate * max(0.0, seconds_left) / requests
        calls_per_request = max(EXPECTED_CALLS_PER_REQUEST, numbers.calls / requests)

        def left(sent: int, target: int) -> float:
            allowed = bounds.exposure_share * growth * sent + bounds.exposure_slack
            return ALLOWANCE_MARGIN * allowed - target

        return min(
            left(numbers.requests, numbers.target_requests),
            left(numbers.calls, numbers.target_calls) / calls_per_request,
        )


class ExposureHistory:
    """Rate of the requests to a service, from their number over the last seconds."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, int]] = deque()

    def add(self, at: float, requests: int) -> None:
        """Add the number of requests so far."""
        if self.samples and at - self.samples[-1][0] < RATE_SAMPLE_SECONDS:
            return
        self.samples.append((at, requests))
        while self.samples[0][0] < at - RATE_WINDOW_SECONDS:
            self.samples.popleft()

    def rate(self, requests: int, elapsed: float) -> float:
        """Return the requests a second over the samples held.

        An instance that starts learns the numbers of the others one by one; until it has enough
        samples, the mean since the order is taken.
        """
        (first_at, first), (last_at, last) = self.samples[0], self.samples[-1]
        if last_at - first_at < MIN_RATE_SECONDS:
            return requests / max(elapsed, RATE_SAMPLE_SECONDS)
        return max(0, last - first) / (last_at - first_at)


def merge_exposure(records: Iterable[tuple[str, list[float]]]) -> CallNumbers:
    """Return the sum of all instances' numbers."""
    total = CallNumbers()
    for _, value in records:
        total = total.plus(CallNumbers(*(int(number) for number in value[1:5])))
    return total
