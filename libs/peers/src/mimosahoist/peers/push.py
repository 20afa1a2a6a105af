"""Selection of the peers to which an instance pushes changes; does no I/O.

Each instance pushes what is new to it. Bytes between failure domains cost more than within one, and
every instance of a domain would carry the same changes across. So one that received a change passes
it on within its domain, and only a few of them also to another. An instance that made a change
itself pushes it to every domain at once. What a push misses, the anti-entropy of probes repairs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

DOMAIN_FANOUT = 3
# Number of instances of a domain that pass a received change on to another domain, on average.
CROSSINGS_PER_DOMAIN = 6.0


def select_recipients(
    domains: dict[str, str], own_domain: str, has_own_changes: bool, rng: random.Random
) -> list[str]:
    """Select the peers to push to.

    Parameters
    ----------
    domains : dict
        Failure domain of each peer, by the peer's name.
    has_own_changes : bool
        Whether some changes are this instance's own.
    """
    by_domain: dict[str, list[str]] = {}
    for name in sorted(domains):
        by_domain.setdefault(domains[name], []).append(name)
    own = by_domain.pop(own_domain, [])
    recipients = rng.sample(own, min(DOMAIN_FANOUT, len(own)))
    others = [by_domain[domain] for domain in sorted(by_domain)]
    if has_own_changes:
        return recipients + [rng.choice(names) for names in others]
    if others and rng.random() < CROSSINGS_PER_DOMAIN / (1 + len(own)):
        recipients.append(rng.choice(rng.choice(others)))
    return recipients
