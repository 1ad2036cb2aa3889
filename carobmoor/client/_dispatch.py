"""Sends calls to chosen owner nodes, with retries and hedges."""

import random
import time
import uuid
from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from carobmoor.client._at_most_once import TicketClient, send_at_most_once
from carobmoor.client._attempt_results import (
    FollowUp,
    abandon_answer,
    candidate_outcome,
    follow_up_of,
    is_success,
    pick_result,
)
from carobmoor.client._hedge import send_hedged
from carobmoor.client._messages import Call
from carobmoor.client._request import (
    SendResult,
    build_request,
    classify_answer,
    declared_answer_bytes,
    failure_of,
    request_body_bytes,
)
from carobmoor.client._trace import trace_choice, trace_failure
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.retries import (
    RetryState,
    hedge_delay_s,
    record_call,
    record_success,
    take_hedge,
    take_retry,
)
from carobmoor.routing import (
    REPORT_HEADER,
    CallOutcome,
    CallResult,
    CandidateState,
    ChoiceQuery,
    RoutingState,
    charge_paid_response,
    choose,
    decode_report,
    record_call_end,
    record_call_start,
    record_report,
)
from carobmoor.tickets import GRANT_HEADER, Ticket, mint
from carobmoor.transport import (
    Address,
    Answer,
    ConnectionPool,
    get_header,
    send,
)

_MS_PER_S: Final = 1000
# Time after the deadline of a call in which the owner may still answer.
_ANSWER_GRACE_S: Final = 0.25


class PendingCall:
    """A call in progress: the owners tried, and the time and retries left."""

    def __init__(
        self,
        call: Call,
        max_retries: int,
        excluded: Sequence[Address],
    ) -> None:
        """Start before the first attempt, not trying the `excluded` owners."""
        self.retries_left = max_retries
        if call.retries_left is not None:
            self.retries_left = min(call.retries_left, max_retries)
        self.call = call._replace(retries_left=self.retries_left)
        self.deadline_s = time.monotonic() + call.timeout_ms / _MS_PER_S
        self.tried = list(excluded)

    @property
    def remaining_s(self) -> float:
        """The time left before the deadline; negative after it."""
        return self.deadline_s - time.monotonic()

    def begin_next_attempt(self) -> None:
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
        self.ticket_client = TicketClient(pool)
        self._pool = pool
        self._rng = rng

    async def dispatch(
        self,
        call: Call,
        excluded: Sequence[Address] = (),
    ) -> SendResult:
        """Send a call, and resend it to other owners if that is safe.

        `follow_up_of` decides whether it may be sent again, and the retry
        budget of the service how often.
        """
        call = call._replace(request_id=call.request_id or uuid.uuid4().hex)
        pending = PendingCall(call, self.retries.policy.most_retries, excluded)
        record_call(self.retries, call.service, call.attempt)
        send_result = await self._attempt_with_hedge(pending)
        while self._take_retry(pending, send_result):
            try:
                retried = await self._attempt_with_hedge(pending)
            except BaseException:
                abandon_answer(send_result)
                raise
            send_result = pick_result(send_result, retried)
        return send_result

    async def choose_and_mint(
        self,
        service: str,
        request_id: str,
    ) -> Result[Ticket, Failure]:
        """Choose an owner for a request and mint a ticket valid there."""
        now_s = time.monotonic()
        query = ChoiceQuery()
        candidate = choose(self.routing, service, query, now_s, self._rng)
        if candidate is None:
            return Err(NotRun(Code.NO_CANDIDATE, 'choice', service))
        owner = candidate.address
        grant = await self.ticket_client.get_grant(owner)
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

    async def send_attempt(
        self,
        call: Call,
        owner: Address,
        deadline_s: float,
    ) -> SendResult:
        """Send one attempt; one that must run at most once gets a ticket."""
        if call.repeatable:
            return await self._send_copy(call, owner, deadline_s)
        return await send_at_most_once(
            self.ticket_client,
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
    ) -> SendResult:
        """Send a call to an owner; return its answer or the failure."""
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return Err(NotRun(Code.DEADLINE_LAPSED, 'choice', str(owner)))
        request = build_request(call, owner, remaining_s)
        timeout_s = remaining_s + _ANSWER_GRACE_S
        send_result = await send(self._pool, owner, request, timeout_s)
        if isinstance(send_result, Err):
            return Err(failure_of(send_result.err_value))
        self._apply_answer_headers(call, send_result.ok_value)
        return await classify_answer(call, send_result.ok_value)

    async def _attempt_with_hedge(self, pending: PendingCall) -> SendResult:
        """Make one attempt, with a hedge if the call allows it."""
        call = pending.call
        started_s = time.monotonic()
        delay_s = self._hedge_delay_s(pending)
        if delay_s is None:
            send_result = await self._choose_and_send(pending)
        else:
            send_result = await send_hedged(
                lambda: self._choose_and_send(pending),
                delay_s,
                lambda: self._take_hedge(pending),
            )
        if is_success(send_result):
            elapsed_s = time.monotonic() - started_s
            call_labels = (call.service, call.rank, call.attempt)
            record_success(self.retries, *call_labels, elapsed_s)
        return send_result

    async def _choose_and_send(self, pending: PendingCall) -> SendResult:
        """Choose an owner and send it the call; first attempts and hedges."""
        call = pending.call
        now_s = time.monotonic()
        query = ChoiceQuery(
            pending.tried,
            call.rank,
            request_body_bytes(call),
            call.repeatable,
        )
        candidate = choose(self.routing, call.service, query, now_s, self._rng)
        if candidate is None:
            return Err(NotRun(Code.NO_CANDIDATE, 'choice', call.service))
        pending.tried.append(candidate.address)
        trace_choice(
            call, candidate, self.routing.candidates_of(call.service), now_s
        )
        call_number = record_call_start(self.routing, candidate, now_s)
        outcome = CallOutcome.NEUTRAL
        try:
            send_result = await self.send_attempt(
                call, candidate.address, pending.deadline_s
            )
            outcome = candidate_outcome(send_result)
        finally:
            self._record_end(call, candidate, call_number, outcome)
        self._update_candidate(call, candidate, send_result)
        trace_failure(call, candidate, send_result)
        return send_result

    def _record_end(
        self,
        call: Call,
        candidate: CandidateState,
        call_number: int,
        outcome: CallOutcome,
    ) -> None:
        call_end = CallResult(outcome, call.rank, call.more_body is None)
        now_s = time.monotonic()
        record_call_end(
            self.routing, call.service, candidate, call_number, call_end, now_s
        )

    def _take_retry(
        self, pending: PendingCall, send_result: SendResult
    ) -> bool:
        call = pending.call
        follow_up = follow_up_of(call, send_result)
        if follow_up is FollowUp.DONE or pending.remaining_s <= 0:
            return False
        if follow_up is FollowUp.RETRY_UNBUDGETED:
            return True
        if not pending.retries_left:
            return False
        if not take_retry(self.retries, call.service):
            return False
        pending.begin_next_attempt()
        return True

    def _hedge_delay_s(self, pending: PendingCall) -> float | None:
        call = pending.call
        if not call.repeatable or call.more_body is not None:
            return None
        if not pending.retries_left:
            return None
        delay_s = hedge_delay_s(self.retries, call.service, call.rank)
        if delay_s is None or delay_s >= pending.remaining_s:
            return None
        return delay_s

    def _take_hedge(self, pending: PendingCall) -> bool:
        if not take_hedge(self.retries, pending.call.service):
            return False
        pending.begin_next_attempt()
        return True

    def _update_candidate(
        self,
        call: Call,
        candidate: CandidateState,
        send_result: SendResult,
    ) -> None:
        if isinstance(send_result, Err):
            if send_result.err_value.code is Code.LEAVING:
                candidate.is_leaving = True
        else:
            answer_bytes = declared_answer_bytes(send_result.ok_value)
            charge_paid_response(
                self.routing, call.rank, candidate, answer_bytes
            )
        if candidate.is_leaving:
            self._pool.close_idle(candidate.address)

    def _apply_answer_headers(self, call: Call, answer: Answer) -> None:
        self.ticket_client.store_encoded_grant(
            get_header(answer.head.headers, GRANT_HEADER)
        )
        encoded_report = get_header(answer.head.headers, REPORT_HEADER)
        report = decode_report(encoded_report)
        candidate = self.routing.find_candidate(call.service, answer.address)
        if report is None:
            return
        if report.is_leaving:
            # Closing idle connections from this side avoids writing a
            # request on one that the owner is closing at the same time.
            self._pool.close_idle(answer.address)
        if candidate is None:
            return
        self.routing.counts['reports'] += 1
        self.routing.counts['report_bytes'] += len(encoded_report)
        now_s = time.monotonic()
        record_report(self.routing, call.service, candidate, report, now_s)
