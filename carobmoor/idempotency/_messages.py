"""The row that claims an idempotency key and stores its answer."""

from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec

from carobmoor.decoding import decoder_of
from carobmoor.tickets import Ticket
from carobmoor.transport import parse_address


class StoredResult(NamedTuple):
    """The answer to a claimed request; `body` is `None` if it was too large."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes | None


class Claim(NamedTuple):
    """The content of the row of an idempotency key.

    Every node that receives the key sends its copy of the request with this
    one ticket, so that a single owner, named by the ticket, decides about all
    copies.
    """

    # Unique to each claim, so that the content of no two rows is the same. Not
    # compared: after a lost answer, whichever row is read back is used.
    claim_id: str
    service: str
    # Digest of the method, the target and the body.
    fingerprint: str
    request_id: str
    ticket: Ticket
    # Wall clock of the claiming node; used for the clean-up only.
    claimed_at_s: float
    ending: StoredResult | None = None


_decode: Final = decoder_of(Claim)


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim as the content of its row."""
    return msgspec.json.encode(claim)


def decode_claim(content: bytes) -> Claim:
    """Decode a claim; raises `msgspec.DecodeError`, also without an owner."""
    claim: Claim = _decode(content)
    try:
        parse_address(claim.ticket.owner)
    except ValueError as error:
        raise msgspec.DecodeError(str(error)) from error
    return claim
