"""Tickets, the grants that they are minted from, and verdicts on them."""

import enum
from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec

TICKET_HEADER: Final = b'x-carobmoor-ticket'
GRANT_HEADER: Final = b'x-carobmoor-ticket-grant'
REPEATABLE_HEADER: Final = b'x-carobmoor-repeatable'


class Ticket(NamedTuple):
    """The right to run one request at one owner, once.

    The request id and the service travel in headers of their own; `mac`
    binds them to the other fields.
    """

    # The node that alone may run the request, as `ip:port`.
    owner: str
    # New and unguessable at each start of the owner.
    incarnation: str
    # Counted by the owner, by its own monotonic clock.
    epoch: int
    # Rises by one each time the owner's word on the last was "not run".
    attempt: int
    mac: str


class Grant(NamedTuple):
    """What an owner hands out so that a sender can mint its own tickets."""

    owner: str
    incarnation: str
    epoch: int
    # How long the owner still accepts tickets of this epoch.
    lifetime_ms: int
    # Derived from the owner's secret and the epoch.
    key: str


class TicketPolicy(NamedTuple):
    """The bounds of an owner's memory of decisions."""

    epoch_ms: int = 10_000
    # A ticket is accepted for so many lengths of an epoch.
    epochs: int = 6
    most_decisions: int = 20_000
    # A longer answer is not kept; its copies get "already run".
    most_answer_bytes: int = 4096
    most_kept_bytes: int = 8_388_608


class Presented(NamedTuple):
    """A request that comes with a ticket."""

    request_id: str
    service: str
    # The method, the target and the caller; empty when not at hand.
    fingerprint: str
    # Empty when the body was not at hand as a whole.
    body_digest: str = ''


class KeptAnswer(NamedTuple):
    """A whole answer, small enough to be given to copies."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class Progress(enum.Enum):
    """How far the request of a decision has come."""

    # It waits for a slot or runs.
    RUNNING = 'running'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    # It may have run; nobody will know more.
    LOST = 'lost'


_ticket_decoder: Final = msgspec.json.Decoder(Ticket)
_grant_decoder: Final = msgspec.json.Decoder(Grant)


def encode_ticket(ticket: Ticket) -> bytes:
    """Write a ticket as the content of its header."""
    return msgspec.json.encode(ticket)


def decode_ticket(content: str | bytes) -> Ticket | None:
    """Read a ticket; `None` when it is unreadable."""
    try:
        return _ticket_decoder.decode(content)
    except msgspec.DecodeError:
        return None


def encode_grant(grant: Grant) -> bytes:
    """Write a grant as the content of its header."""
    return msgspec.json.encode(grant)


def decode_grant(content: str | bytes) -> Grant | None:
    """Read a grant; `None` when it is absent or unreadable."""
    try:
        return _grant_decoder.decode(content)
    except msgspec.DecodeError:
        return None
