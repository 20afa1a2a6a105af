"""Settings with which a forwarding instance starts."""

from __future__ import annotations

from typing import NamedTuple

from mimosahoist.forward.organisations.usage_duty import UsageSettings


class InstanceSettings(NamedTuple):
    """Addresses, location and size of an instance; addresses are ``host:port``.

    Attributes
    ----------
    peer_seeds : tuple of str
        Peer addresses to contact while no other instance is known.
    relay_address : str
        Address for requests relayed by other instances; empty if none are accepted.
    capacity : float
        CPU capacity of this instance, in cores.
    expected_instances : int
        Minimum number of instances by which shared limits are divided, so that they also hold
        before peers are known.
    usage : UsageSettings or None
        How the organisations' requests are reported; None if they are not.
    memory_bytes, max_descriptors : int
        Size of the machine, by which the memory and the connections of callers are bounded; 0 if
        it is not known.
    """

    name: str
    failure_domain: str
    callers_address: str
    readiness_address: str
    readiness_path: str
    metrics_address: str
    peer_address: str
    peer_seeds: tuple[str, ...]
    relay_address: str = ""
    capacity: float = 1.0
    expected_instances: int = 8
    usage: UsageSettings | None = None
    memory_bytes: int = 0
    max_descriptors: int = 0
