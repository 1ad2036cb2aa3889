"""Sends calls that must not run twice, each copy under a ticket."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

from result import Err, Ok, Result

from carobmoor.client._messages import Call
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.tickets import Grant, GrantBook, SentTicket, decode_grant
from carobmoor.transport import (
    Address,
    Answer,
    ConnectionPool,
    OutgoingRequest,
    Step,
    parse_address,
    request_json,
)

_GRANT: Final = OutgoingRequest('GET', '/_carobmoor/ticket-grant', ())
_GRANT_TIMEOUT_S: Final = 1
_STEP: Final = 'ticket'
_STEPS_AFTER_WRITING: Final = frozenset(
    (Step.REQUEST_BODY, Step.AWAITING_ANSWER),
)

Sent = Result[Answer, Failure]
SendCopy = Callable[[Call, Address, float], Awaitable[Sent]]


class TicketDesk:
    """Fetches ticket grants from owners and keeps the tickets sent lately."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Start without grants."""
        self.book = GrantBook()
        self._pool = pool
        self._fetching: dict[Address, asyncio.Task[Grant | None]] = {}

    def note(self, content: str) -> None:
        """Store an encoded grant; ignore an empty or invalid one."""
        grant = decode_grant(content) if content else None
        if grant is not None:
            self.note_grant(grant)

    def note_grant(self, grant: Grant) -> None:
        """Store a grant that an owner has just issued."""
        self.book.note_grant(grant, time.monotonic())

    async def grant_of(self, owner: Address) -> Grant | None:
        """Return a usable grant of an owner, fetching one if none is stored.

        Concurrent calls share one fetch. Returns `None` if it fails.
        """
        grant = self.book.usable_grant(str(owner), time.monotonic())
        if grant is not None:
            return grant
        fetching = self._fetching.get(owner)
        if fetching is None:
            fetching = asyncio.create_task(self.fetch(owner))
            self._fetching[owner] = fetching
        return await asyncio.shield(fetching)

    async def fetch(self, owner: Address) -> Grant | None:
        """Fetch a grant from an owner; return `None` if that fails."""
        try:
            asked = await request_json(
                self._pool,
                owner,
                _GRANT,
                _GRANT_TIMEOUT_S,
            )
        finally:
            self._fetching.pop(owner, None)
        if isinstance(asked, Err):
            return None
        grant = decode_grant(asked.ok_value.body)
        if grant is not None:
            self.note_grant(grant)
        return grant


async def send_once(
    desk: TicketDesk,
    call: Call,
    owner: Address,
    deadline_s: float,
    send: SendCopy,
) -> Sent:
    """Make one attempt at a call that must run at most once.

    A request id that was sent lately is sent again under its last ticket, to
    the owner that the ticket names, unless that owner reported "not run". A
    ticket supplied by the caller is never replaced.
    """
    if call.ticket is not None:
        sent = SentTicket(call.ticket, time.monotonic())
        # The caller may have sent copies itself.
        sent.copies = 1
        return await _send_and_settle(sent, call, deadline_s, send)
    minted = await _ticket_for(desk, call, owner)
    if minted is None:
        return Err(
            NotRun(
                Code.NOT_SENT,
                _STEP,
                str(owner),
                'no ticket grant from the owner',
            )
        )
    told = await _send_and_settle(minted, call, deadline_s, send)
    if not _is_refused_ticket(told):
        return told
    # The grant belongs to an incarnation or epoch that has ended.
    desk.book.forget_grant(minted.ticket.owner)
    if call.more_body is not None:
        return told
    minted = await _ticket_for(desk, call, parse_address(minted.ticket.owner))
    if minted is None:
        return told
    return await _send_and_settle(minted, call, deadline_s, send)


async def _ticket_for(
    desk: TicketDesk,
    call: Call,
    owner: Address,
) -> SentTicket | None:
    last = desk.book.last_sent(call.request_id)
    if last is not None and not last.is_refused:
        return last
    grant = await desk.grant_of(owner)
    # A concurrent copy of this call may have minted a ticket meanwhile.
    last = desk.book.last_sent(call.request_id)
    if last is not None and not last.is_refused:
        return last
    if grant is None:
        return None
    return desk.book.mint_next(grant, call.request_id, call.service)


async def _send_and_settle(
    sent: SentTicket,
    call: Call,
    deadline_s: float,
    send: SendCopy,
) -> Sent:
    """Send a copy; if its connection is lost, send another for the outcome.

    The second copy, under the same ticket, is not a retry: the owner runs at
    most one of them and answers both with its outcome.
    """
    owner = parse_address(sent.ticket.owner)
    copy = call._replace(ticket=sent.ticket)
    told = await _send_copy(sent, copy, owner, deadline_s, send)
    if call.more_body is not None or not _is_lost_on_the_way(told, owner):
        return told
    asked = await _send_copy(sent, copy, owner, deadline_s, send)
    return told if _is_unknown(asked) else asked


async def _send_copy(
    sent: SentTicket,
    copy: Call,
    owner: Address,
    deadline_s: float,
    send: SendCopy,
) -> Sent:
    sent.copies += 1
    told = await send(copy, owner, deadline_s)
    if isinstance(told, Ok):
        return told
    failure = _judge(sent, told.err_value, owner)
    sent.is_refused = sent.is_refused or isinstance(failure, NotRun)
    return Err(failure)


def _judge(sent: SentTicket, failure: Failure, owner: Address) -> Failure:
    """Return what the failure of one copy means for the whole request.

    A refused ticket, or "not run" reported by this process, concerns one
    copy only: the request may have run if another copy was sent.
    """
    is_sole = sent.copies == 1
    if isinstance(failure, Unknown):
        if is_sole and failure.code is Code.TICKET_REFUSED:
            return NotRun(failure.code, failure.step, failure.peer)
        return failure
    if is_sole or not _is_own_word(failure, owner):
        return failure
    detail = 'an earlier copy may have run'
    return Unknown(failure.step, failure.peer, detail)


def _is_own_word(failure: NotRun, owner: Address) -> bool:
    """Return whether this process, not the owner, reported "not run"."""
    is_local = failure.code is Code.NOT_SENT or failure.step == 'choice'
    return is_local and failure.peer == str(owner)


def _is_lost_on_the_way(told: Sent, owner: Address) -> bool:
    if isinstance(told, Ok) or isinstance(told.err_value, NotRun):
        return False
    lost = told.err_value
    return lost.peer == str(owner) and lost.step in _STEPS_AFTER_WRITING


def _is_refused_ticket(told: Sent) -> bool:
    if isinstance(told, Ok) or isinstance(told.err_value, Unknown):
        return False
    return told.err_value.code is Code.TICKET_REFUSED


def _is_unknown(told: Sent) -> bool:
    return isinstance(told, Err) and isinstance(told.err_value, Unknown)
