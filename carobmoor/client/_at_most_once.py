"""Sends calls that must not run twice, each copy under a ticket."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

from result import Err, Ok, Result

from carobmoor.client._messages import Call
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.tickets import GrantBook, SentTicket, TicketGrant, decode_grant
from carobmoor.transport import (
    Address,
    Answer,
    ConnectionPool,
    OutgoingRequest,
    Step,
    parse_address,
    request_json,
)

_GRANT_REQUEST: Final = OutgoingRequest('GET', '/_carobmoor/ticket-grant', ())
_GRANT_TIMEOUT_S: Final = 1
_TICKET_STEP: Final = 'ticket'
_STEPS_AFTER_WRITING: Final = frozenset(
    (Step.REQUEST_BODY, Step.AWAITING_ANSWER),
)

SendResult = Result[Answer, Failure]
SendCopy = Callable[[Call, Address, float], Awaitable[SendResult]]


class TicketClient:
    """Fetches ticket grants from owners and keeps the tickets sent lately."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Start without grants."""
        self.grant_book = GrantBook()
        self._pool = pool
        self._fetches: dict[Address, asyncio.Task[TicketGrant | None]] = {}

    def store_encoded_grant(self, encoded_grant: str) -> None:
        """Store an encoded grant; ignore an empty or invalid one."""
        grant = decode_grant(encoded_grant) if encoded_grant else None
        if grant is not None:
            self.store_grant(grant)

    def store_grant(self, grant: TicketGrant) -> None:
        """Store a grant that an owner has just issued."""
        self.grant_book.add_grant(grant, time.monotonic())

    async def get_grant(self, owner: Address) -> TicketGrant | None:
        """Return a usable grant of an owner, fetching one if none is stored.

        Concurrent calls share one fetch. Returns `None` if it fails.
        """
        grant = self.grant_book.usable_grant(str(owner), time.monotonic())
        if grant is not None:
            return grant
        fetch_task = self._fetches.get(owner)
        if fetch_task is None:
            fetch_task = asyncio.create_task(self.fetch_grant(owner))
            self._fetches[owner] = fetch_task
        return await asyncio.shield(fetch_task)

    async def fetch_grant(self, owner: Address) -> TicketGrant | None:
        """Fetch a grant from an owner; return `None` if that fails."""
        try:
            fetched = await request_json(
                self._pool,
                owner,
                _GRANT_REQUEST,
                _GRANT_TIMEOUT_S,
            )
        finally:
            self._fetches.pop(owner, None)
        if isinstance(fetched, Err):
            return None
        grant = decode_grant(fetched.ok_value.body)
        if grant is not None:
            self.store_grant(grant)
        return grant


async def send_at_most_once(
    ticket_client: TicketClient,
    call: Call,
    owner: Address,
    deadline_s: float,
    send: SendCopy,
) -> SendResult:
    """Make one attempt at a call that must run at most once.

    A request id that was sent lately is sent again under its last ticket, to
    the owner that the ticket names, unless that owner reported "not run". A
    ticket supplied by the caller is never replaced.
    """
    if call.ticket is not None:
        sent_ticket = SentTicket(call.ticket, time.monotonic())
        # The caller may have sent copies itself.
        sent_ticket.copy_count = 1
        return await _send_and_resolve(sent_ticket, call, deadline_s, send)
    minted = await _reuse_or_mint_ticket(ticket_client, call, owner)
    if minted is None:
        return Err(
            NotRun(
                Code.NOT_SENT,
                _TICKET_STEP,
                str(owner),
                'no ticket grant from the owner',
            )
        )
    send_result = await _send_and_resolve(minted, call, deadline_s, send)
    if not _is_ticket_refused(send_result):
        return send_result
    # The grant belongs to an incarnation or epoch that has ended.
    ticket_client.grant_book.forget_grant(minted.ticket.owner)
    if call.more_body is not None:
        return send_result
    minted = await _reuse_or_mint_ticket(
        ticket_client, call, parse_address(minted.ticket.owner)
    )
    if minted is None:
        return send_result
    return await _send_and_resolve(minted, call, deadline_s, send)


async def _reuse_or_mint_ticket(
    ticket_client: TicketClient,
    call: Call,
    owner: Address,
) -> SentTicket | None:
    last = ticket_client.grant_book.last_sent(call.request_id)
    if last is not None and not last.is_refused:
        return last
    grant = await ticket_client.get_grant(owner)
    # A concurrent copy of this call may have minted a ticket meanwhile.
    last = ticket_client.grant_book.last_sent(call.request_id)
    if last is not None and not last.is_refused:
        return last
    if grant is None:
        return None
    return ticket_client.grant_book.mint_next(
        grant, call.request_id, call.service
    )


async def _send_and_resolve(
    sent_ticket: SentTicket,
    call: Call,
    deadline_s: float,
    send: SendCopy,
) -> SendResult:
    """Send a copy; if its connection is lost, send another for the outcome.

    The second copy, under the same ticket, is not a retry: the owner runs at
    most one of them and answers both with its outcome.
    """
    owner = parse_address(sent_ticket.ticket.owner)
    copy = call._replace(ticket=sent_ticket.ticket)
    send_result = await _send_copy(sent_ticket, copy, owner, deadline_s, send)
    if call.more_body is not None or not _is_lost_after_writing(
        send_result, owner
    ):
        return send_result
    resend_result = await _send_copy(sent_ticket, copy, owner, deadline_s, send)
    return send_result if _is_unknown(resend_result) else resend_result


async def _send_copy(
    sent_ticket: SentTicket,
    copy: Call,
    owner: Address,
    deadline_s: float,
    send: SendCopy,
) -> SendResult:
    sent_ticket.copy_count += 1
    send_result = await send(copy, owner, deadline_s)
    if isinstance(send_result, Ok):
        return send_result
    failure = _classify_failure(sent_ticket, send_result.err_value, owner)
    sent_ticket.is_refused = sent_ticket.is_refused or isinstance(
        failure, NotRun
    )
    return Err(failure)


def _classify_failure(
    sent_ticket: SentTicket, failure: Failure, owner: Address
) -> Failure:
    """Return what the failure of one copy means for the whole request.

    A refused ticket, or "not run" reported by this process, concerns one
    copy only: the request may have run if another copy was sent.
    """
    is_only_copy = sent_ticket.copy_count == 1
    if isinstance(failure, Unknown):
        if is_only_copy and failure.code is Code.TICKET_REFUSED:
            return NotRun(failure.code, failure.step, failure.peer)
        return failure
    if is_only_copy or not _is_local_refusal(failure, owner):
        return failure
    detail = 'an earlier copy may have run'
    return Unknown(failure.step, failure.peer, detail)


def _is_local_refusal(failure: NotRun, owner: Address) -> bool:
    """Return whether this process, not the owner, reported "not run"."""
    is_local = failure.code is Code.NOT_SENT or failure.step == 'choice'
    return is_local and failure.peer == str(owner)


def _is_lost_after_writing(send_result: SendResult, owner: Address) -> bool:
    if isinstance(send_result, Ok) or isinstance(send_result.err_value, NotRun):
        return False
    lost = send_result.err_value
    return lost.peer == str(owner) and lost.step in _STEPS_AFTER_WRITING


def _is_ticket_refused(send_result: SendResult) -> bool:
    if isinstance(send_result, Ok) or isinstance(
        send_result.err_value, Unknown
    ):
        return False
    return send_result.err_value.code is Code.TICKET_REFUSED


def _is_unknown(send_result: SendResult) -> bool:
    return isinstance(send_result, Err) and isinstance(
        send_result.err_value, Unknown
    )
