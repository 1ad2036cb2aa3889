"""Minting of tickets from a grant, and derivation of the grant keys."""

import base64
import hashlib
from typing import Final

from carobmoor.tickets._messages import Ticket, TicketGrant

_MAC_BYTES: Final = 16


def grant_key(secret: bytes, incarnation: str, epoch: int) -> str:
    """Derive the key of one epoch from the secret of an incarnation."""
    return _mac(secret, f'{incarnation} {epoch}')


def mint(
    grant: TicketGrant, request_id: str, service: str, attempt: int
) -> Ticket:
    """Mint a ticket for one request without contacting the owner."""
    return Ticket(
        grant.owner,
        grant.incarnation,
        grant.epoch,
        attempt,
        ticket_mac(grant.key, request_id, service, attempt),
    )


def ticket_mac(key: str, request_id: str, service: str, attempt: int) -> str:
    """Return the MAC that binds a request to the epoch of `key`."""
    return _mac(key.encode(), f'{attempt} {service} {request_id}')


def _mac(key: bytes, message: str) -> str:
    keyed = hashlib.blake2b(message.encode(), key=key, digest_size=_MAC_BYTES)
    return base64.urlsafe_b64encode(keyed.digest()).decode()
