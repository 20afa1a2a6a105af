"""Addresses and place of an instance."""

from __future__ import annotations

from typing import NamedTuple


class InstanceSettings(NamedTuple):
    """Addresses and place of an instance; addresses are ``host:port``.

    Attributes
    ----------
    peer_seeds : tuple of str
        Peer addresses to try as long as no instance is known.
    relay_address : str
        Where other instances send searches to gather.
    capacity : float
        Processor time that this instance has, in cores.
    expected_instances : int
        Shared limits are divided by at least this many instances, also before peers are known.
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
