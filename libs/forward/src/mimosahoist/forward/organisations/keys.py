"""Identifies the organisation of a caller by its key; does no I/O.

Answers a crowd of callers of several organisations, some of whom hold no key, a key that was taken
away, or one that this instance has not heard of yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.forward.admission.validation import Refusal
from mimosahoist.forward.outcomes import NotRun

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.forward.declarations import Configuration, Organisation, Route
    from mimosahoist.forward.headers import HeaderNames

STATUS_UNAUTHORIZED = 401
AUTHORIZATION = "Authorization"
UNKNOWN_KEY = Refusal(STATUS_UNAUTHORIZED, "the key is missing or unknown; send a valid one")
# Another instance may hold a lease.
RETURN_SECONDS = 0.2
KEYS_UNCONFIRMED = NotRun(
    "it is not certain that this instance knows the current keys",
    RETURN_SECONDS,
    needs_new_connection=True,
)


class CallerIdentity(NamedTuple):
    """The organisation of a caller; both fields are None if no organisation is known.

    Attributes
    ----------
    priority : int or None
        Rank of the organisation's requests; None if that of the route applies.
    """

    organisation: str | None = None
    priority: int | None = None


class KeyRing:
    """Keys of all organisations of one configuration.

    Attributes
    ----------
    enabled : bool
        Whether the configuration declares organisations, so that requests need a key.
    by_key, by_name : dict
        Organisations by each of their keys, and by their names.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.enabled = configuration.organisations is not None
        self.by_key: dict[str, Organisation] = {
            key: organisation
            for organisation in configuration.organisations or ()
            for key in organisation.keys
        }
        self.by_name = {
            organisation.name: organisation for organisation in configuration.organisations or ()
        }

    def identify(
        self, route: Route, headers: HTTPHeaders, names: HeaderNames, keys_current: bool
    ) -> CallerIdentity | Refusal | NotRun:
        """Identify the caller of a request, or refuse the request.

        Parameters
        ----------
        keys_current : bool
            Whether this instance may rely on the keys that it knows. If not, it refuses an unknown
            key in a way that lets the caller try another instance.
        """
        if not self.enabled:
            return CallerIdentity()
        organisation = self.by_key.get(read_key(headers, names))
        if route.is_open:
            return identity_of(organisation)
        if not keys_current:
            return KEYS_UNCONFIRMED
        return UNKNOWN_KEY if organisation is None else identity_of(organisation)

    def identified_before(self, headers: HTTPHeaders, names: HeaderNames) -> CallerIdentity:
        """Identity of a request that another instance has identified and relayed."""
        if not self.enabled:
            return CallerIdentity()
        return identity_of(self.by_name.get(headers.get(names.organisation, "")))


def identity_of(organisation: Organisation | None) -> CallerIdentity:
    """Return the identity of the callers of an organisation."""
    if organisation is None:
        return CallerIdentity()
    return CallerIdentity(organisation.name, organisation.priority)


def read_key(headers: HTTPHeaders, names: HeaderNames) -> str:
    """Return the key that a request carries; an empty text if it carries none."""
    scheme, _, key = headers.get(AUTHORIZATION, "").strip().partition(" ")
    return key.strip() if scheme.lower() == names.key_scheme.lower() else ""


def replace_key(headers: HTTPHeaders, names: HeaderNames, identity: CallerIdentity) -> None:
    """Replace the key in a request's headers by the name of its organisation."""
    headers.pop(AUTHORIZATION, None)
    headers.pop(names.organisation, None)
    if identity.organisation is not None:
        headers[names.organisation] = identity.organisation
