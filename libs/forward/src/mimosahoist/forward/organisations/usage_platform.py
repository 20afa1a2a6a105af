"""What the usage reports need of the platform."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mimosahoist.forward.organisations.usage_duty import DutyRecord, StoredDuty, UsageReport


class UsagePlatform(ABC):
    """Keeps the record of the duty, and receives the reports."""

    async def start(self) -> None:
        """Open connections and other resources."""

    async def close(self) -> None:
        """Release all resources."""

    @abstractmethod
    async def read(self) -> StoredDuty:
        """Return the stored record.

        Raises
        ------
        Problem
            If the store gives no answer.
        """

    @abstractmethod
    async def write(self, record: DutyRecord, known: StoredDuty) -> StoredDuty:
        """Store a record, provided that `known` is what the store holds.

        Returns
        -------
        StoredDuty
            What the store holds then: the record, or what another writer left.

        Raises
        ------
        Problem
            If the store gives no answer; the record may have been stored, or may be later.
        """

    @abstractmethod
    async def send(self, report: UsageReport, holder: str, token: int, timeout: float) -> bool:
        """Send a report; return whether the receiver confirmed it.

        Parameters
        ----------
        timeout : float
            Seconds after which the report is given up.
        """
