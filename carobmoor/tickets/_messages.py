"""Tickets, the grants that they are minted from, and their encoding."""

import enum
from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec

from carobmoor.decoding import Count, decoder_of
from carobmoor.transport import parse_address

TICKET_HEADER: Final = b'x-carobmoor-ticket'
GRANT_HEADER: Final = b'x-carobmoor-ticket-grant'
REPEATABLE_HEADER: Final = b'x-carobmoor-repeatable'


class Ticket(NamedTuple):
    """The right to run one request once, on one owner.

    The request id and the service travel in headers of their own; `mac`
    binds them to the other fields.
    """

    # The node that alone may run the request, as `ip:port`.
    owner: str
    # Random for each start of the owner, and unguessable.
    incarnation: str
    # Counted by the owner on its monotonic clock.
    epoch: Count
    # Incremented each time the owner reports that the request did not run.
    attempt: Count
    mac: str


class TicketGrant(NamedTuple):
    """The means to mint tickets, issued by an owner to a sender."""

    owner: str
    incarnation: str
    epoch: Count
    # Time for which the owner will still accept tickets of this epoch.
    lifetime_ms: Count
    # Derived from the secret of the owner, its incarnation and the epoch.
    key: str


class TicketPolicy(NamedTuple):
    """Limits on the decisions and answers that an owner stores."""

    epoch_ms: int = 10_000
    # Tickets expire this many epoch lengths after the start of their epoch.
    lifetime_epochs: int = 6
    max_decisions: int = 20_000
    # A longer answer is not stored; copies of its request get "already run".
    max_answer_bytes: int = 4096
    max_stored_answers_bytes: int = 8_388_608


class PresentedRequest(NamedTuple):
    """A request that is presented with a ticket."""

    request_id: str
    service: str
    # Of the method, the target and the caller; empty if unavailable.
    fingerprint: str
    # Empty if the whole body is not available.
    body_digest: str = ''


class StoredAnswer(NamedTuple):
    """A complete answer, small enough to be stored for copies."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class Progress(enum.Enum):
    """The progress of a request that was started."""

    # Running, or waiting for a slot.
    RUNNING = 'running'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    # May have run; the outcome will never be known.
    LOST = 'lost'


_ticket_decode: Final = decoder_of(Ticket)
_grant_decode: Final = decoder_of(TicketGrant)


def encode_ticket(ticket: Ticket) -> bytes:
    """Encode a ticket as the value of its header."""
    return msgspec.json.encode(ticket)


def decode_ticket(content: str | bytes) -> Ticket | None:
    """Decode a ticket; return `None` if it is malformed."""
    try:
        return _ticket_decode(content)
    except msgspec.DecodeError:
        return None


def encode_grant(grant: TicketGrant) -> bytes:
    """Encode a grant as the value of its header."""
    return msgspec.json.encode(grant)


def decode_grant(content: str | bytes) -> TicketGrant | None:
    """Decode a grant; return `None` if it is empty or malformed."""
    try:
        grant: TicketGrant = _grant_decode(content)
        parse_address(grant.owner)
    except ValueError:
        # `DecodeError` is one too.
        return None
    return grant
