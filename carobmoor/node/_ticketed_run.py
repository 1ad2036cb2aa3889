"""Running each request with a ticket at most once, at its owner."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
import xxhash

from carobmoor.client import REQUEST_ID_HEADER
from carobmoor.node._answers import Send, end_to_end_headers
from carobmoor.node._context import RequestContext
from carobmoor.node._pending_request import PendingRequest
from carobmoor.node._state import NodeState
from carobmoor.outcomes import Failure, NotRun, Unknown
from carobmoor.tickets import (
    GRANT_HEADER,
    Decision,
    PresentedRequest,
    Progress,
    Start,
    StoredAnswer,
    Ticket,
    Told,
    Wait,
    admit,
    advance_epochs,
    encode_grant,
    mint,
    outcome_of,
    record_outcome,
)
from carobmoor.transport import AnswerIncomplete, HeaderList

_STEP: Final = 'ticket'

RequestRunner = Callable[[NodeState, PendingRequest], Awaitable[Failure | None]]


class AnswerRecorder:
    """Sends an answer to the caller and keeps a copy of a small one."""

    def __init__(self, send: Send, max_bytes: int) -> None:
        """Create a recorder that keeps bodies of up to `max_bytes`."""
        self._send = send
        self._max_bytes = max_bytes
        self._start_message: Any = None
        self._body = bytearray()
        self._is_complete = False
        self._is_too_large = False

    async def send(self, message: Any) -> None:
        """Record one ASGI message of the answer, then send it."""
        if message['type'] == 'http.response.start':
            self._start_message = message
        else:
            self._record(message['body'], message['more_body'])
        await self._send(message)

    def kept_answer(self) -> StoredAnswer | None:
        """Return the answer; `None` if incomplete or too large to keep."""
        if not self._is_complete or self._is_too_large:
            return None
        headers = end_to_end_headers(self._start_message['headers'])
        status = self._start_message['status']
        return StoredAnswer(status, headers, bytes(self._body))

    def _record(self, chunk: bytes, has_more: bool) -> None:
        self._is_complete = not has_more
        if len(self._body) + len(chunk) > self._max_bytes:
            self._is_too_large = True
            self._body.clear()
        if not self._is_too_large:
            self._body.extend(chunk)


async def run_once(
    node: NodeState,
    pending: PendingRequest,
    run: RequestRunner,
) -> Failure | None:
    """Run a request, unless the ticket table has seen a copy of it."""
    pending.is_ticket_decided = True
    context = pending.context
    if context.is_repeatable and context.ticket is None:
        return await run(node, pending)
    presented = _describe_request(pending)
    now_s = time.monotonic()
    ticket = context.ticket or _mint_own_ticket(node, context, now_s)
    verdict = admit(node.tickets, ticket, presented, now_s)
    pending.add_note(_STEP, type(verdict).__name__.lower())
    if isinstance(verdict, Start):
        return await _run_and_settle(node, pending, run, verdict.decision)
    if isinstance(verdict, Wait):
        return await _wait_for_copy(node, pending, verdict.decision)
    return await _send_outcome(pending, verdict)


def record_refusal(
    node: NodeState,
    context: RequestContext,
    refusal: NotRun,
) -> Failure:
    """Record a refusal from before the ticket table was asked.

    Another copy may have run already, or may arrive later and run. Only the
    owner's ticket table knows whether one ran and can refuse later ones, so a
    request with a ticket gets `NotRun` only if that table confirms it.
    """
    ticket = context.ticket
    if ticket is None:
        return refusal
    if ticket.owner != node.address:
        return Unknown(refusal.step, refusal.peer, refusal.code.value)
    presented = PresentedRequest(context.request_id, context.service, '')
    verdict = admit(node.tickets, ticket, presented, time.monotonic())
    if isinstance(verdict, Start):
        record_outcome(node.tickets, verdict.decision, refusal)
        return refusal
    outcome = verdict.outcome if isinstance(verdict, Told) else None
    if isinstance(outcome, NotRun | Unknown):
        return outcome
    return Unknown(
        _STEP,
        node.address,
        'another copy of the request is running or has ended',
    )


def ticket_grant_headers(
    node: NodeState, context: RequestContext
) -> HeaderList:
    """Return a new ticket grant for a sender that uses an outdated one."""
    ticket = context.ticket
    if ticket is None or not context.owner:
        return ()
    now_s = time.monotonic()
    advance_epochs(node.tickets, now_s)
    grant = node.tickets.grant(now_s)
    used_grant = (ticket.incarnation, ticket.epoch)
    if used_grant == (grant.incarnation, grant.epoch):
        return ()
    return ((GRANT_HEADER, encode_grant(grant)),)


async def _run_and_settle(
    node: NodeState,
    pending: PendingRequest,
    run: RequestRunner,
    decision: Decision,
) -> Failure | None:
    max_bytes = node.tickets.policy.max_answer_bytes
    recorder = AnswerRecorder(pending.send, max_bytes)
    pending.send = recorder.send
    outcome: StoredAnswer | Failure | None = Unknown(
        _STEP, node.address, 'the run was aborted before its end'
    )
    try:
        failure = await run(node, pending)
        outcome = recorder.kept_answer() if failure is None else failure
    except AnswerIncomplete as broken:
        call_failure = broken.failure
        outcome = Unknown(
            call_failure.step.value, call_failure.peer, call_failure.reason
        )
        raise
    finally:
        record_outcome(node.tickets, decision, outcome)
    return failure


async def _wait_for_copy(
    node: NodeState,
    pending: PendingRequest,
    decision: Decision,
) -> Failure | None:
    waiter = asyncio.get_running_loop().create_future()
    decision.waiters.append(waiter)
    await asyncio.wait((waiter,), timeout=max(0, pending.remaining_s))
    if decision.progress is Progress.RUNNING:
        decision.waiters.remove(waiter)
        return Unknown(
            _STEP,
            node.address,
            'another copy of the request was still running at the deadline',
        )
    return await _send_outcome(pending, outcome_of(node.tickets, decision))


async def _send_outcome(
    pending: PendingRequest, verdict: Told
) -> Failure | None:
    outcome = verdict.outcome
    if not isinstance(outcome, StoredAnswer):
        return outcome
    await send_kept_answer(pending, outcome)
    return None


async def send_kept_answer(
    pending: PendingRequest, outcome: StoredAnswer
) -> None:
    """Send a kept answer to the caller of another copy."""
    request_id = pending.context.request_id.encode()
    await pending.send(
        {
            'type': 'http.response.start',
            'status': outcome.status,
            'headers': [*outcome.headers, (REQUEST_ID_HEADER, request_id)],
        },
    )
    await pending.send(
        {
            'type': 'http.response.body',
            'body': outcome.body,
            'more_body': False,
        },
    )


def _mint_own_ticket(
    node: NodeState,
    context: RequestContext,
    now_s: float,
) -> Ticket:
    """Mint a ticket for a caller without one, which may retry a refusal."""
    table = node.tickets
    advance_epochs(table, now_s)
    earlier = table.decisions.get(context.request_id)
    attempt = 0 if earlier is None else earlier.attempt + 1
    grant = table.grant(now_s)
    return mint(grant, context.request_id, context.service, attempt)


def _describe_request(pending: PendingRequest) -> PresentedRequest:
    context = pending.context
    # With a ticket, the caller's address may be that of a forwarding node.
    caller = pending.caller if context.ticket is None else ''
    parts = (context.method, context.target, caller)
    encoded_parts = msgspec.json.encode(parts)
    is_complete = pending.body.is_complete
    return PresentedRequest(
        context.request_id,
        context.service,
        xxhash.xxh3_128_hexdigest(encoded_parts),
        xxhash.xxh3_128_hexdigest(pending.body.first_chunk)
        if is_complete
        else '',
    )
