"""Sending one call to the owner node that the choice names."""

import random
import time
import uuid
from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.client._headers import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
)
from carobmoor.client._messages import Call
from carobmoor.client._once import TicketDesk, send_once
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Code,
    Failure,
    NotRun,
    Unknown,
    decode_failure,
)
from carobmoor.routing import (
    REPORT_HEADER,
    RoutingState,
    call_ended,
    call_started,
    choose,
    decode_report,
    note_report,
)
from carobmoor.tickets import (
    GRANT_HEADER,
    REPEATABLE_HEADER,
    TICKET_HEADER,
    Ticket,
    encode_ticket,
    mint,
)
from carobmoor.transport import (
    Address,
    Answer,
    AnswerBroken,
    CallFailure,
    ConnectionPool,
    OutgoingRequest,
    header_of,
    proves_not_run,
    read_whole,
    send,
)

_MOST_TRIES: Final = 3
_MOST_REFUSAL_BYTES: Final = 65536
_MS_PER_S: Final = 1000
# How long past its deadline a call waits for the owner's word on it.
_OUTCOME_GRACE_S: Final = 0.25
_REFUSED_FOR_GOOD: Final = frozenset(
    (
        Code.BAD_REQUEST,
        Code.BODY_TOO_LARGE,
        Code.DEADLINE_LAPSED,
        Code.UNKNOWN_RANK,
        Code.BODY_STALLED,
        Code.CONFLICT,
        Code.HEADERS_TOO_LARGE,
    ),
)


class Dispatcher:
    """Chooses owners and sends calls; shared by the library and the nodes."""

    def __init__(
        self,
        routing: RoutingState,
        pool: ConnectionPool,
        rng: random.Random,
    ) -> None:
        """Bind the choice to the connections that carry it out."""
        self.routing = routing
        self.desk = TicketDesk(pool)
        self._pool = pool
        self._rng = rng

    async def dispatch(self, call: Call) -> Result[Answer, Failure]:
        """Send a call, again elsewhere only while it surely did not run."""
        call = call._replace(request_id=call.request_id or uuid.uuid4().hex)
        deadline_s = time.monotonic() + call.timeout_ms / _MS_PER_S
        tried: list[Address] = []
        failure: Failure = NotRun(Code.NO_CANDIDATE, 'choice', call.service)
        for _ in range(_MOST_TRIES):
            sent = await self._try_once(call, deadline_s, tried)
            if isinstance(sent, Ok):
                return sent
            if not _is_no_candidate(sent.err_value):
                failure = sent.err_value
            if not _may_retry(call, sent.err_value):
                break
        return Err(failure)

    async def mint_for(
        self,
        service: str,
        request_id: str,
    ) -> Result[Ticket, Failure]:
        """Choose an owner for a request and mint a ticket for it."""
        now_s = time.monotonic()
        chosen = choose(self.routing, service, (), now_s, self._rng)
        if chosen is None:
            return Err(NotRun(Code.NO_CANDIDATE, 'choice', service))
        owner = chosen.candidate.address
        grant = await self.desk.grant_of(owner)
        if grant is None:
            return Err(NotRun(Code.NOT_SENT, 'ticket', str(owner), 'no grant'))
        return Ok(mint(grant, request_id, service, 0))

    async def _try_once(
        self,
        call: Call,
        deadline_s: float,
        tried: list[Address],
    ) -> Result[Answer, Failure]:
        now_s = time.monotonic()
        chosen = choose(self.routing, call.service, tried, now_s, self._rng)
        if chosen is None:
            return Err(NotRun(Code.NO_CANDIDATE, 'choice', call.service))
        tried.append(chosen.candidate.address)
        call_started(chosen)
        succeeded = False
        try:
            sent = await self.send_to(
                call,
                chosen.candidate.address,
                deadline_s,
            )
            succeeded = sent.is_ok()
        finally:
            call_ended(chosen, time.monotonic() - now_s, succeeded)
        return sent

    async def send_to(
        self,
        call: Call,
        owner: Address,
        deadline_s: float,
    ) -> Result[Answer, Failure]:
        """Make one attempt at a call, under a ticket where it needs one."""
        if call.repeatable:
            return await self._send_copy(call, owner, deadline_s)
        return await send_once(
            self.desk,
            call,
            owner,
            deadline_s,
            self._send_copy,
        )

    async def _send_copy(
        self,
        call: Call,
        owner: Address,
        deadline_s: float,
    ) -> Result[Answer, Failure]:
        """Send a call to one owner and tell a refusal from an answer."""
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            return Err(NotRun(Code.DEADLINE_LAPSED, 'choice', str(owner)))
        request = OutgoingRequest(
            call.method,
            call.target,
            _headers_of(call, owner, left_s),
            call.body,
            call.more_body,
        )
        timeout_s = left_s + _OUTCOME_GRACE_S
        sent = await send(self._pool, owner, request, timeout_s)
        if isinstance(sent, Err):
            return Err(failure_of(sent.err_value))
        return await self._judge(call, sent.ok_value)

    async def _judge(
        self,
        call: Call,
        answer: Answer,
    ) -> Result[Answer, Failure]:
        headers = answer.head.headers
        self._note_report(call, answer)
        self.desk.note(header_of(headers, GRANT_HEADER))
        if not header_of(headers, OUTCOME_HEADER.encode()):
            return _own_answer(call, answer)
        peer = str(answer.address)
        try:
            body = await read_whole(answer, _MOST_REFUSAL_BYTES)
        except AnswerBroken as error:
            return Err(failure_of(error.failure))
        return Err(decode_failure(body, call.request_id, peer))

    def _note_report(self, call: Call, answer: Answer) -> None:
        content = header_of(answer.head.headers, REPORT_HEADER)
        report = decode_report(content)
        known = self.routing.find(call.service, answer.address)
        if report is not None and known is not None:
            note_report(known, report, time.monotonic())
        if report is not None and report.is_leaving:
            # Whoever closes an idle connection first can't lose a request
            # that the other side is just writing.
            self._pool.forget(answer.address)


def failure_of(failure: CallFailure) -> Failure:
    """Tell what a lost call means for its request."""
    step = failure.step.value
    if proves_not_run(failure):
        return NotRun(Code.NOT_SENT, step, failure.peer, failure.reason)
    return Unknown(step, failure.peer, failure.reason)


def _own_answer(call: Call, answer: Answer) -> Result[Answer, Failure]:
    echoed = header_of(answer.head.headers, REQUEST_ID_HEADER)
    if echoed == call.request_id:
        return Ok(answer)
    answer.abandon('answer of another request')
    peer = str(answer.address)
    return Err(Unknown('awaiting_answer', peer, 'answer of another request'))


def _headers_of(
    call: Call,
    owner: Address,
    left_s: float,
) -> Sequence[tuple[bytes, bytes]]:
    left_ms = max(1, int(left_s * _MS_PER_S))
    headers = [
        (b'host', str(owner).encode()),
        (REQUEST_ID_HEADER, call.request_id.encode()),
        (SERVICE_HEADER, call.service.encode()),
        (OWNER_HEADER, str(owner).encode()),
        (DEADLINE_HEADER, b'%d' % left_ms),
    ]
    if call.rank:
        headers.append((RANK_HEADER, call.rank.encode()))
    if call.caller:
        headers.append((CALLER_HEADER, call.caller.encode()))
    if call.depth:
        headers.append((DEPTH_HEADER, b'%d' % call.depth))
    if call.ticket is not None:
        headers.append((TICKET_HEADER, encode_ticket(call.ticket)))
    elif call.repeatable:
        headers.append((REPEATABLE_HEADER, b'true'))
    return (*headers, *call.headers)


def _may_retry(call: Call, failure: Failure) -> bool:
    # A streamed body is consumed by the first try, and a ticket of the
    # caller's own names the one owner.
    if call.more_body is not None or call.ticket is not None:
        return False
    if isinstance(failure, Unknown):
        return call.repeatable
    return failure.code not in _REFUSED_FOR_GOOD


def _is_no_candidate(failure: Failure) -> bool:
    return failure.code is Code.NO_CANDIDATE
