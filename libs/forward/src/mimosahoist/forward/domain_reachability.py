"""Detects failure domains that this instance cannot reach, from calls and peer messages.

A network partition that drops packets shows only as silence. A domain is considered unreachable if
calls to its upstreams fail and its instances are silent too; either alone does not indicate a
partition.
"""

from __future__ import annotations

from mimosahoist.core import json_log

SILENCE_TIMEOUT_SECONDS = 1.2
RETRY_INTERVAL_SECONDS = 8.0
FAILURES_BEFORE_SUSPICION = 2
# Time between two evaluations, and until those that wait for answers notice the result.
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
    unreachable_since : float
        Loop time in seconds at which the first of them became unreachable; 0 if there is none.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.contacts: dict[str, DomainContact] = {}
        self.unreachable_domains: frozenset[str] = frozenset()
        self.unreachable_since = 0.0

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
        """Update the set of unreachable domains."""
        unreachable = frozenset(
            domain
            for domain, contact in self.contacts.items()
            if domain != self.own_domain and self.is_unreachable(contact, at)
        )
        for domain in unreachable:
            self.allow_retry(self.contacts[domain], at)
        if unreachable != self.unreachable_domains:
            json_log.info("domains out of reach", domains=sorted(unreachable))
            if not self.unreachable_domains or not unreachable:
                self.unreachable_since = at if unreachable else 0.0
            self.unreachable_domains = unreachable

    def allow_retry(self, contact: DomainContact, at: float) -> None:
        """Let calls retry a domain periodically, since its instances may have left for good."""
        if not contact.suspected_at:
            contact.suspected_at = at
        elif at - contact.suspected_at > RETRY_INTERVAL_SECONDS:
            contact.suspected_at = 0.0
            contact.failures = 0

    def is_unreachable(self, contact: DomainContact, at: float) -> bool:
        """Whether calls failed and no upstream or instance of a domain responded recently."""
        return (
            contact.failures >= FAILURES_BEFORE_SUSPICION
            and at - contact.last_response_at > SILENCE_TIMEOUT_SECONDS
            and at - contact.last_peer_contact_at > SILENCE_TIMEOUT_SECONDS
        )
