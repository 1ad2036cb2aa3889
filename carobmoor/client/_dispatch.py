"""Sends calls to chosen owner nodes, with retries and hedges."""

import random
import time
import uuid
from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.client._at_most_once import TicketDesk, send_once
from carobmoor.client._hedge import race
from carobmoor.client._messages import Call
from carobmoor.client._request import (
    Sent,
    answer_bytes_of,
    failure_of,
    judge_answer,
    request_bytes_of,
    request_of,
)
from carobmoor.client._trace import note_choice, note_outcome
from carobmoor.client._verdict import (
    Next,
    is_good,
    next_step,
    outcome_of,
    settle,
)
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.retries import (
    RetryState,
    call_offered,
    call_succeeded,
    hedge_delay_s,
    take_hedge,
    take_retry,
)
from carobmoor.routing import (
    REPORT_HEADER,
    CallEnd,
    CandidateState,
    ChoiceQuery,
    Outcome,
    RoutingState,
    call_ended,
    call_started,
    choose,
    decode_report,
    note_paid_answer,
    note_report,
)
from carobmoor.tickets import GRANT_HEADER, Ticket, mint
from carobmoor.transport import (
    Address,
    Answer,
    ConnectionPool,
    header_of,
    send,
)

_MS_PER_S: Final = 1000
# Time after the deadline of a call in which the owner may still answer.
_OUTCOME_GRACE_S: Final = 0.25


class Pursuit:
    """A call in progress: the owners tried, and the time and retries left."""

    def __init__(
        self,
        call: Call,
        most_retries: int,
        excluded: Sequence[Address],
    ) -> None:
        """Start before the first attempt, not trying the `excluded` owners."""
        self.retries_left = most_retries
        if call.retries_left is not None:
            self.retries_left = min(call.retries_left, most_retries)
        self.call = call._replace(retries_left=self.retries_left)
        self.deadline_s = time.monotonic() + call.timeout_ms / _MS_PER_S
        self.tried = list(excluded)

    @property
    def left_s(self) -> float:
        """The time left before the deadline; negative after it."""
        return self.deadline_s - time.monotonic()

    def begin_next(self) -> None:
        """Count one more attempt of the chain of calls."""
        self.retries_left -= 1
        self.call = self.call._replace(
            attempt=self.call.attempt + 1,
            retries_left=self.retries_left,
        )


class Dispatcher:
    """Chooses owners and sends calls, both for clients and for nodes."""

    def __init__(
        self,
        routing: RoutingState,
        pool: ConnectionPool,
        rng: random.Random,
    ) -> None:
        """Use the given candidates, connections and random source."""
        self.routing = routing
        self.retries = RetryState()
        self.desk = TicketDesk(pool)
        self._pool = pool
        self._rng = rng

    async def dispatch(
        self,
        call: Call,
        excluded: Sequence[Address] = (),
    ) -> Sent:
        """Send a call, and resend it to other owners if that is safe.

        `next_step` decides whether it may be sent again, and the retry
        budget of the service how often.
        """
        call = call._replace(request_id=call.request_id or uuid.uuid4().hex)
        pursuit = Pursuit(call, self.retries.policy.most_retries, excluded)
        call_offered(self.retries, call.service, call.attempt)
        sent = await self._attempt(pursuit)
        while self._may_go_on(pursuit, sent):
            sent = settle(sent, await self._attempt(pursuit))
        return sent

    async def mint_for(
        self,
        service: str,
        request_id: str,
    ) -> Result[Ticket, Failure]:
        """Choose an owner for a request and mint a ticket valid there."""
        now_s = time.monotonic()
        query = ChoiceQuery()
        known = choose(self.routing, service, query, now_s, self._rng)
        if known is None:
            return Err(NotRun(Code.NO_CANDIDATE, 'choice', service))
        owner = known.address
        grant = await self.desk.grant_of(owner)
        if grant is None:
            return Err(
                NotRun(
                    Code.NOT_SENT,
                    'ticket',
                    str(owner),
                    'no ticket grant from the owner',
                )
            )
        return Ok(mint(grant, request_id, service, 0))

    async def send_to(
        self,
        call: Call,
        owner: Address,
        deadline_s: float,
    ) -> Sent:
        """Send one attempt; one that must run at most once gets a ticket."""
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
    ) -> Sent:
        """Send a call to an owner; return its answer or the failure."""
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            return Err(NotRun(Code.DEADLINE_LAPSED, 'choice', str(owner)))
        request = request_of(call, owner, left_s)
        timeout_s = left_s + _OUTCOME_GRACE_S
        sent = await send(self._pool, owner, request, timeout_s)
        if isinstance(sent, Err):
            return Err(failure_of(sent.err_value))
        self._note_headers(call, sent.ok_value)
        return await judge_answer(call, sent.ok_value)

    async def _attempt(self, pursuit: Pursuit) -> Sent:
        """Make one attempt, with a hedge if the call allows it."""
        call = pursuit.call
        begun_s = time.monotonic()
        delay_s = self._hedge_delay_s(pursuit)
        if delay_s is None:
            sent = await self._try_once(pursuit)
        else:
            sent = await race(
                lambda: self._try_once(pursuit),
                delay_s,
                lambda: self._takes_hedge(pursuit),
            )
        if is_good(sent):
            took_s = time.monotonic() - begun_s
            spent = (call.service, call.rank, call.attempt)
            call_succeeded(self.retries, *spent, took_s)
        return sent

    async def _try_once(self, pursuit: Pursuit) -> Sent:
        """Choose an owner and send it the call; first attempts and hedges."""
        call = pursuit.call
        now_s = time.monotonic()
        query = ChoiceQuery(
            pursuit.tried,
            call.rank,
            request_bytes_of(call),
            call.repeatable,
        )
        known = choose(self.routing, call.service, query, now_s, self._rng)
        if known is None:
            return Err(NotRun(Code.NO_CANDIDATE, 'choice', call.service))
        pursuit.tried.append(known.address)
        note_choice(call, known, self.routing.of(call.service), now_s)
        number = call_started(self.routing, known, now_s)
        outcome = Outcome.NEUTRAL
        try:
            sent = await self.send_to(call, known.address, pursuit.deadline_s)
            outcome = outcome_of(sent)
        finally:
            self._end(call, known, number, outcome)
        self._learn(call, known, sent)
        note_outcome(call, known, sent)
        return sent

    def _end(
        self,
        call: Call,
        known: CandidateState,
        number: int,
        outcome: Outcome,
    ) -> None:
        end = CallEnd(outcome, call.rank, call.more_body is None)
        now_s = time.monotonic()
        call_ended(self.routing, call.service, known, number, end, now_s)

    def _may_go_on(self, pursuit: Pursuit, sent: Sent) -> bool:
        call = pursuit.call
        step = next_step(call, sent)
        if step is Next.DONE or pursuit.left_s <= 0:
            return False
        if step is Next.BOUNCE:
            return True
        if not pursuit.retries_left:
            return False
        if not take_retry(self.retries, call.service):
            return False
        pursuit.begin_next()
        return True

    def _hedge_delay_s(self, pursuit: Pursuit) -> float | None:
        call = pursuit.call
        if not call.repeatable or call.more_body is not None:
            return None
        if not pursuit.retries_left:
            return None
        delay_s = hedge_delay_s(self.retries, call.service, call.rank)
        if delay_s is None or delay_s >= pursuit.left_s:
            return None
        return delay_s

    def _takes_hedge(self, pursuit: Pursuit) -> bool:
        if not take_hedge(self.retries, pursuit.call.service):
            return False
        pursuit.begin_next()
        return True

    def _learn(
        self,
        call: Call,
        known: CandidateState,
        sent: Sent,
    ) -> None:
        if isinstance(sent, Err):
            if sent.err_value.code is Code.LEAVING:
                known.is_leaving = True
        else:
            answer_bytes = answer_bytes_of(sent.ok_value)
            note_paid_answer(self.routing, call.rank, known, answer_bytes)
        if known.is_leaving:
            self._pool.forget(known.address)

    def _note_headers(self, call: Call, answer: Answer) -> None:
        self.desk.note(header_of(answer.head.headers, GRANT_HEADER))
        content = header_of(answer.head.headers, REPORT_HEADER)
        report = decode_report(content)
        known = self.routing.find(call.service, answer.address)
        if report is None:
            return
        if report.is_leaving:
            # Closing idle connections from this side avoids writing a
            # request on one that the owner is closing at the same time.
            self._pool.forget(answer.address)
        if known is None:
            return
        self.routing.counts['reports'] += 1
        self.routing.counts['report_bytes'] += len(content)
        now_s = time.monotonic()
        note_report(self.routing, call.service, known, report, now_s)
