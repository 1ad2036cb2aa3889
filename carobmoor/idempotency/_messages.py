"""The row that claims an idempotency key, and the answer kept in it."""

from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec

from carobmoor.tickets import Ticket


class ResultRow(NamedTuple):
    """How the claimed request was answered; no body when it was too large."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes | None


class Claim(NamedTuple):
    """What stands under an idempotency key.

    Every node that meets the key sends its copy under this one ticket, so
    the owner that the ticket names decides about all of them.
    """

    # Unique to the write, so that a lost answer can be read back.
    claim_id: str
    service: str
    # Of the method, the target and the body.
    fingerprint: str
    request_id: str
    ticket: Ticket
    # By the clock of the claiming node; for the clean-up only.
    claimed_at_s: float
    ending: ResultRow | None = None


_decoder: Final = msgspec.json.Decoder(Claim)


def encode_claim(claim: Claim) -> bytes:
    """Write a claim as the content of its row."""
    return msgspec.json.encode(claim)


def decode_claim(content: bytes) -> Claim:
    """Read a claim; raises `msgspec.DecodeError`."""
    return _decoder.decode(content)
