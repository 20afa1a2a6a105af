"""Detects failure domains that this instance cannot reach, from calls and peer messages.

A network partition that drops packets shows only as silence. A domain is considered unreachable if
calls to its upstreams fail and its instances are silent too; either alone does not indicate a
partition.
"""

from __future__ import annotations

from mimosahoist.core import json_log

SILENCE_TIMEOUT_SECONDS = 1.2
# Shorter, as it only decides readiness: the load balancer reacts to the second miss in a row, so
# that a suspicion that is withdrawn within a second has no effect.
SUSPICION_SECONDS = 0.6
RETRY_INTERVAL_SECONDS = 8.0
FAILURES_BEFORE_SUSPICION = 2
# Interval of evaluations, and at which requests that wait for answers look at the result.
REACHABILITY_INTERVAL_SECONDS = 0.25


class DomainContact:
    """Most recent contact with one failure domain; times are loop times in seconds."""

    def __init__(self, at: float) -> None:
        self.last_response_at = at
        self.last_peer_contact_at = at
        self.failures = 0
        self.suspected_at = 0.0


class DomainReachability:
    """Reachability of all failure domains.

    Attributes
    ----------
    unreachable_domains : frozenset of str
        Domains that appear to be partitioned from this instance.
    suspected_domains : frozenset of str
        Domains that may be, including the unreachable ones.
    suspected_since : float
        Loop time in seconds at which the first of them was suspected; 0 if there is none.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.contacts: dict[str, DomainContact] = {}
        self.unreachable_domains: frozenset[str] = frozenset()
        self.suspected_domains: frozenset[str] = frozenset()
        self.suspected_since = 0.0

    def contact(self, domain: str, at: float) -> DomainContact:
        """Contact record of a domain, created on first use."""
        return self.contacts.setdefault(domain, DomainContact(at))

    def record_response(self, domain: str, at: float) -> None:
        """Record that an upstream of the domain responded."""
        contact = self.contact(domain, at)
        contact.last_response_at = at
        contact.failures = 0
        contact.suspected_at = 0.0

    def record_failure(self, domain: str, at: float) -> None:
        """Record that a call to the domain got no response or is overdue."""
        self.contact(domain, at).failures += 1

    def record_peer_contact(self, domain: str, at: float) -> None:
        """Record a message from an instance of the domain."""
        contact = self.contact(domain, at)
        contact.last_peer_contact_at = at
        if domain in self.unreachable_domains:
            contact.failures = 0
            contact.suspected_at = 0.0

    def evaluate(self, at: float) -> None:
        """Update the sets of suspected and unreachable domains."""
        unreachable = self.silent_domains(at, SILENCE_TIMEOUT_SECONDS)
        suspected = unreachable | self.silent_domains(at, SUSPICION_SECONDS)
        if bool(suspected) != bool(self.suspected_domains):
            self.suspected_since = at if suspected else 0.0
        self.suspected_domains = suspected
        for domain in unreachable:
            self.allow_retry(self.contacts[domain], at)
        if unreachable != self.unreachable_domains:
            json_log.info("domains out of reach", domains=sorted(unreachable))
            self.unreachable_domains = unreachable

    def silent_domains(self, at: float, timeout: float) -> frozenset[str]:
        """Other domains in which calls failed and nobody responded for a time in seconds."""
        return frozenset(
            domain
            for domain, contact in self.contacts.items()
            if domain != self.own_domain and is_silent(contact, at, timeout)
        )

    def allow_retry(self, contact: DomainContact, at: float) -> None:
        """Let calls retry a domain periodically, since its instances may have left for good."""
        if not contact.suspected_at:
            contact.suspected_at = at
        elif at - contact.suspected_at > RETRY_INTERVAL_SECONDS:
            contact.suspected_at = 0.0
            contact.failures = 0


def is_silent(contact: DomainContact, at: float, timeout: float) -> bool:
    """Whether calls failed and no upstream or instance of a domain responded within a time."""
    return (
        contact.failures >= FAILURES_BEFORE_SUSPICION
        and at - contact.last_response_at > timeout
        and at - contact.last_peer_contact_at > timeout
    )
