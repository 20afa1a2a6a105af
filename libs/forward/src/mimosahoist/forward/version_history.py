"""What the rollouts of a service have shown about its versions; does no I/O.

An operator may replace, withdraw or repeat an order at any time, and a store may go back to a copy.
What was learnt about a version outlives the order under which it was learnt: a version that was a
target and was not completed gets calls as the target of the present order, and none otherwise.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.peers.facts import FactKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mimosahoist.peers.facts import FactTable

VERSION_PREFIX = "version/"
# Upstreams of a version are replaced sooner, or keep its record alive while they are listed.
RECORD_TTL_SECONDS = 24 * 3600.0
REFRESH_SECONDS = RECORD_TTL_SECONDS / 2
MAX_STORED_RECORDS = 16


class VersionState(enum.StrEnum):
    """What is known of a version; of one order, a later state replaces an earlier one."""

    ON_TRIAL = "on-trial"
    ROLLED_BACK = "rolled-back"
    IN_SERVICE = "in-service"
    REPLACED = "replaced"


STATE_ORDER = list(VersionState)
# States in which a version gets calls only as the target of a rollout.
UNPROVEN_STATES = (VersionState.ON_TRIAL, VersionState.ROLLED_BACK)


class VersionRecord(NamedTuple):
    """What the latest order of a version has shown.

    Attributes
    ----------
    sequence : int
        Number of the order among those of this version; 0 if it was in service before any.
    order : str
        Key of the order; empty if there was none.
    recorded_at : float
        Unix time in seconds.
    """

    version: str
    sequence: int
    order: str
    state: VersionState
    recorded_at: float

    @property
    def rank(self) -> tuple[int, str, int]:
        """Order in which records of one version replace each other."""
        return self.sequence, self.order, STATE_ORDER.index(self.state)

    def joined_with(self, other: VersionRecord) -> VersionRecord:
        """Combine what two instances know."""
        latest = max(self, other, key=lambda record: record.rank)
        return latest._replace(recorded_at=max(self.recorded_at, other.recorded_at))


class VersionFacts(FactKind):
    """Records by service and version, as a list that begins with the name of the service."""

    prefix = VERSION_PREFIX

    def valid(self, value: Any) -> bool:
        """Whether a received value is well-formed."""
        return (
            isinstance(value, list | tuple)
            and bool(value)
            and isinstance(value[0], str)
            and is_record(value[1:])
        )

    def join(self, held: Any, received: Any) -> Any:
        """Combine two records of the same version."""
        joined = decode_record(held[1:]).joined_with(decode_record(received[1:]))
        return [held[0], *joined]

    def expired(self, value: Any, at: float) -> bool:
        """Whether a record has expired at a Unix time."""
        return at - value[-1] > RECORD_TTL_SECONDS


class VersionHistory:
    """Records of all services' versions, shared with the other instances.

    Attributes
    ----------
    unproven : dict
        Versions of each service that get calls only as the target of a rollout.
    listener : callable
        Called with a service after another instance has told something new about it.
    """

    def __init__(self, fact_table: FactTable, listener: Callable[[str], None]) -> None:
        self.fact_table = fact_table
        self.listener = listener
        self.records: dict[str, dict[str, VersionRecord]] = {}
        self.unproven: dict[str, frozenset[str]] = {}
        fact_table.register(VersionFacts(), self.handle_fact)

    def handle_fact(self, key: str, value: Any) -> None:
        """Add what another instance knows of a version."""
        service = value[0]
        self.merge(service, [decode_record(value[1:])])
        self.listener(service)

    def get(self, service: str, version: str) -> VersionRecord | None:
        """Record of a version, or None if nothing is known of it."""
        return self.records.get(service, {}).get(version)

    def of(self, service: str) -> tuple[VersionRecord, ...]:
        """Records of a service to be stored with its rollout, the latest ones."""
        records = sorted(self.records.get(service, {}).values(), key=lambda item: item.recorded_at)
        return tuple(records[-MAX_STORED_RECORDS:])

    def is_in_service(self, service: str, version: str) -> bool:
        """Whether a version is known to be the only one that carries the service's calls."""
        records = self.records.get(service, {}).values()
        in_service = {item.version for item in records if item.state is VersionState.IN_SERVICE}
        return in_service == {version}

    def outcome(self, service: str, version: str, order: str) -> VersionState | None:
        """State in which an order of a version has ended; None if it has not, as far as known."""
        record = self.get(service, version)
        if record is None or record.order != order or record.state is VersionState.ON_TRIAL:
            return None
        return record.state

    def merge(self, service: str, records: Iterable[VersionRecord]) -> None:
        """Add what others know."""
        versions = self.records.setdefault(service, {})
        for record in records:
            held = versions.get(record.version)
            joined = record if held is None else held.joined_with(record)
            if joined != held:
                versions[record.version] = joined
                self.share(service, joined)
        self.update_unproven(service)

    def share(self, service: str, record: VersionRecord) -> None:
        """Publish and log a record that has changed."""
        key = f"{VERSION_PREFIX}{service}/{record.version}"
        self.fact_table.publish(key, [service, *record])
        json_log.info("version known", service=service, **record._asdict())

    def update_unproven(self, service: str) -> None:
        """Determine the versions that get calls only as a target."""
        versions = self.records[service]
        self.unproven[service] = frozenset(
            record.version for record in versions.values() if record.state in UNPROVEN_STATES
        )

    def record_order(
        self, service: str, version: str, order: str, others: Iterable[str], at: float
    ) -> None:
        """Record that an order moves a service to a version.

        Parameters
        ----------
        others : iterable of str
            Other versions that have carried calls until now.
        at : float
            Unix time in seconds.
        """
        in_service = VersionState.IN_SERVICE
        self.merge(
            service,
            [
                VersionRecord(other, 0, "", in_service, at)
                for other in others
                if self.get(service, other) is None
            ],
        )
        held = self.get(service, version)
        if held is None or (held.order != order and not self.is_in_service(service, version)):
            sequence = held.sequence + 1 if held is not None else 1
            self.merge(
                service, [VersionRecord(version, sequence, order, VersionState.ON_TRIAL, at)]
            )

    def record_outcome(
        self, service: str, version: str, order: str, completed: bool, at: float
    ) -> None:
        """Record how an order of a version has ended."""
        held = self.get(service, version)
        if completed and held is not None and held.order != order:
            started = VersionRecord(version, held.sequence + 1, order, held.state, at)
            self.merge(service, [started])
        records = self.records.get(service, {}).values()
        self.merge(service, settle(records, version, completed, at))

    def maintain(self, listed: dict[str, set[str]], at: float) -> None:
        """Drop old records, but keep those of versions whose upstreams are listed from expiring.

        Parameters
        ----------
        listed : dict
            Versions of each service that upstreams are listed of.
        """
        for service, versions in self.records.items():
            for record in list(versions.values()):
                age = at - record.recorded_at
                if record.version in listed.get(service, ()):
                    if age > REFRESH_SECONDS:
                        self.merge(service, [record._replace(recorded_at=at)])
                elif age > RECORD_TTL_SECONDS:
                    del versions[record.version]
            self.update_unproven(service)


def settle(
    records: Iterable[VersionRecord], version: str, completed: bool, at: float
) -> list[VersionRecord]:
    """Records of a service's versions after the latest order of one of them has ended.

    A version that is completed replaces those in service. One that was in service before its order
    stays so if the order is rolled back.
    """
    by_version = {record.version: record for record in records}
    held = by_version.setdefault(version, VersionRecord(version, 1, "", VersionState.ON_TRIAL, at))
    if completed:
        by_version[version] = held._replace(state=VersionState.IN_SERVICE)
        return [
            (
                record._replace(state=VersionState.REPLACED)
                if record.version != version and record.state is VersionState.IN_SERVICE
                else record
            )
            for record in by_version.values()
        ]
    if held.state is VersionState.ON_TRIAL:
        by_version[version] = held._replace(state=VersionState.ROLLED_BACK)
    return list(by_version.values())


def is_record(values: Any) -> bool:
    """Whether values from another process can be decoded as a record."""
    if not isinstance(values, list | tuple) or len(values) != len(VersionRecord._fields):
        return False
    version, sequence, order, state, recorded_at = values
    return (
        isinstance(version, str)
        and isinstance(sequence, int)
        and isinstance(order, str)
        and state in STATE_ORDER
        and isinstance(recorded_at, int | float)
        and math.isfinite(recorded_at)
    )


def decode_record(values: Iterable[Any]) -> VersionRecord:
    """Decode values for which `is_record` is true."""
    version, sequence, order, state, recorded_at = values
    return VersionRecord(version, sequence, order, VersionState(state), recorded_at)
