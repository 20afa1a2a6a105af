"""Which failure domains this instance still reaches, from calls and from peers.

A cut that drops packets shows only by silence. A domain is out of reach if its upstreams fail and
its instances are silent too; one of the two alone is no sign of a cut.
"""

from __future__ import annotations

from mimosahoist.core import json_log

SILENCE_SECONDS = 1.2
RETRIAL_SECONDS = 8.0
FAILURES_BEFORE_DOUBT = 2


class DomainContact:
    """Signs of life of one failure domain; loop times in seconds."""

    def __init__(self, at: float) -> None:
        self.answered_at = at
        self.peer_at = at
        self.failures = 0
        self.doubted_at = 0.0


class DomainReachability:
    """Signs of life of all failure domains.

    Attributes
    ----------
    unreachable_domains : frozenset of str
        Domains that are believed to be cut off from this instance.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.contacts: dict[str, DomainContact] = {}
        self.unreachable_domains: frozenset[str] = frozenset()

    def contact(self, domain: str, at: float) -> DomainContact:
        """Signs of life of a domain."""
        return self.contacts.setdefault(domain, DomainContact(at))

    def record_response(self, domain: str, at: float) -> None:
        """An upstream of the domain answered."""
        contact = self.contact(domain, at)
        contact.answered_at = at
        contact.failures = 0
        contact.doubted_at = 0.0

    def record_failure(self, domain: str, at: float) -> None:
        """A call to the domain was not answered, or is overdue."""
        self.contact(domain, at).failures += 1

    def record_peer_contact(self, domain: str, at: float) -> None:
        """An instance of the domain spoke."""
        contact = self.contact(domain, at)
        contact.peer_at = at
        if domain in self.unreachable_domains:
            contact.failures = 0
            contact.doubted_at = 0.0

    def evaluate(self, at: float) -> None:
        """Judge all domains anew."""
        silent = frozenset(
            domain
            for domain, contact in self.contacts.items()
            if domain != self.own_domain and self.is_silent(contact, at)
        )
        for domain in silent:
            self.retry_later(self.contacts[domain], at)
        if silent != self.unreachable_domains:
            json_log.change("domains out of reach", domains=sorted(silent))
            self.unreachable_domains = silent

    def retry_later(self, contact: DomainContact, at: float) -> None:
        """Let calls try a domain again now and then, as its instances may be gone for good."""
        if not contact.doubted_at:
            contact.doubted_at = at
        elif at - contact.doubted_at > RETRIAL_SECONDS:
            contact.doubted_at = 0.0
            contact.failures = 0

    def is_silent(self, contact: DomainContact, at: float) -> bool:
        """Whether neither upstreams nor instances of a domain have spoken lately."""
        return (
            contact.failures >= FAILURES_BEFORE_DOUBT
            and at - contact.answered_at > SILENCE_SECONDS
            and at - contact.peer_at > SILENCE_SECONDS
        )
