"""The state of a sender: grants of owners and tickets sent recently."""

import time
from collections import OrderedDict
from typing import Final

from carobmoor.tickets._messages import Ticket, TicketGrant
from carobmoor.tickets._mint import mint

_MS_PER_S: Final = 1000
# Share of its lifetime that a grant is used for, so that its last tickets
# arrive while the owner still accepts them.
_USABLE_LIFETIME_SHARE: Final = 0.75
_MAX_SENT_TICKETS: Final = 10_000
_SENT_LIFETIME_S: Final = 60


class SentTicket:
    """A ticket that copies of one request were sent with."""

    __slots__ = ('copy_count', 'is_refused', 'minted_at_s', 'ticket')

    def __init__(self, ticket: Ticket, minted_at_s: float) -> None:
        """Start with no copies sent."""
        self.ticket = ticket
        self.minted_at_s = minted_at_s
        self.copy_count = 0
        # Whether the owner reported that the request did not run.
        self.is_refused = False


class GrantBook:
    """The grants by owner and the last ticket of each recent request."""

    def __init__(self) -> None:
        """Start without grants."""
        self._grants: dict[str, tuple[TicketGrant, float]] = {}
        self._sent: OrderedDict[str, SentTicket] = OrderedDict()

    def add_grant(self, grant: TicketGrant, now_s: float) -> None:
        """Store a grant, to be used for three quarters of its lifetime."""
        lifetime_s = grant.lifetime_ms / _MS_PER_S
        self._grants[grant.owner] = (
            grant,
            now_s + lifetime_s * _USABLE_LIFETIME_SHARE,
        )

    def forget_grant(self, owner: str) -> None:
        """Drop the grant of an owner that refused a ticket minted from it."""
        self._grants.pop(owner, None)

    def usable_grant(self, owner: str, now_s: float) -> TicketGrant | None:
        """Return the grant of an owner; `None` if absent or too old."""
        grant, usable_until_s = self._grants.get(owner, (None, float(0)))
        return grant if now_s < usable_until_s else None

    def last_sent(self, request_id: str) -> SentTicket | None:
        """Return the last ticket of a request; `None` if older than 60 s."""
        sent = self._sent.get(request_id)
        if (
            sent is None
            or time.monotonic() - sent.minted_at_s > _SENT_LIFETIME_S
        ):
            return None
        return sent

    def mint_next(
        self,
        grant: TicketGrant,
        request_id: str,
        service: str,
    ) -> SentTicket:
        """Mint and store the ticket for the next attempt of a request.

        Beyond 10 000 requests, the one whose ticket is oldest is dropped.
        """
        last = self.last_sent(request_id)
        attempt = 0 if last is None else last.ticket.attempt + 1
        ticket = mint(grant, request_id, service, attempt)
        sent = SentTicket(ticket, time.monotonic())
        self._sent[request_id] = sent
        self._sent.move_to_end(request_id)
        if len(self._sent) > _MAX_SENT_TICKETS:
            self._sent.popitem(last=False)
        return sent
