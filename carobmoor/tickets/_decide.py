"""Ticket decisions, as functions over the table and a passed-in time."""

import hmac
from typing import Final

from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.tickets._messages import (
    PresentedRequest,
    Progress,
    StoredAnswer,
    Ticket,
)
from carobmoor.tickets._mint import ticket_mac
from carobmoor.tickets._state import (
    Decision,
    Start,
    TicketTable,
    Told,
    Verdict,
    Wait,
)

_STEP: Final = 'ticket'
_MS_PER_S: Final = 1000


def admit(
    table: TicketTable,
    ticket: Ticket,
    presented: PresentedRequest,
    now_s: float,
) -> Verdict:
    """Decide whether a request with a ticket runs, waits or is answered.

    A request with an invalid ticket, or with an expired one and no decision in
    the table, gets an unknown outcome, since it may have run before.
    """
    advance_epochs(table, now_s)
    if ticket.incarnation != table.incarnation:
        return _unknown(
            table, 'ticket was minted for another start of the owner'
        )
    if not _is_genuine(table.epoch_key(ticket.epoch), ticket, presented):
        return _unknown(
            table, 'ticket MAC does not match a grant of this owner'
        )
    known = table.decisions.get(presented.request_id)
    if known is not None:
        return _decide_known(table, known, ticket, presented)
    if table.accepted_epoch(ticket.epoch) is None:
        return _unknown(table, 'ticket epoch has expired')
    return _decide_new(table, ticket, presented)


def record_outcome(
    table: TicketTable,
    decision: Decision,
    outcome: StoredAnswer | Failure | None,
) -> None:
    """Record how a started request ended and wake the copies that wait.

    `None` stands for an answer that is too large to store.
    """
    if decision.progress is not Progress.RUNNING:
        return
    if isinstance(outcome, NotRun):
        decision.progress = Progress.REFUSED
        decision.failure = outcome
    elif isinstance(outcome, Unknown):
        decision.progress = Progress.LOST
        decision.failure = outcome
    else:
        decision.progress = Progress.ANSWERED
        _store_answer(table, decision, outcome)
    for waiter in decision.waiters:
        if not waiter.done():
            waiter.set_result(None)
    decision.waiters = []


def outcome_of(table: TicketTable, decision: Decision) -> Told:
    """Return the outcome of a request that has ended, for a copy of it."""
    if decision.failure is not None:
        return Told(decision.failure)
    if decision.answer is not None:
        return Told(decision.answer)
    detail = 'request has run, but its answer is not stored'
    return Told(Unknown(_STEP, table.owner, detail, Code.ALREADY_RUN))


def advance_epochs(table: TicketTable, now_s: float) -> None:
    """Open a new epoch if one is due and drop those that have expired."""
    age_s = now_s - table.current_epoch.started_s
    is_due = age_s * _MS_PER_S >= table.policy.epoch_ms
    is_closed = table.current_epoch.number <= table.last_closed_epoch
    if is_due or (is_closed and not table.is_full):
        table.open_epoch(now_s)
    oldest_s = now_s - table.lifetime_s
    while table.epochs[0].started_s < oldest_s and len(table.epochs) > 1:
        _drop_epoch(table, table.epochs.popleft().number)


def _decide_known(
    table: TicketTable,
    known: Decision,
    ticket: Ticket,
    presented: PresentedRequest,
) -> Verdict:
    if not _is_same_request(known.presented, presented):
        detail = 'request id is already in use by a different request'
        return Told(Unknown(_STEP, table.owner, detail, Code.CONFLICT))
    if known.progress is Progress.RUNNING:
        return Wait(known)
    is_next = ticket.attempt > known.attempt
    is_accepted = table.accepted_epoch(ticket.epoch) is not None
    if known.progress is Progress.REFUSED and is_next and is_accepted:
        return _start(table, ticket, presented)
    return outcome_of(table, known)


def _decide_new(
    table: TicketTable,
    ticket: Ticket,
    presented: PresentedRequest,
) -> Verdict:
    # Every request started under an accepted epoch is in the table, so this
    # one did not run.
    if ticket.epoch <= table.last_closed_epoch:
        return _not_run(table, 'ticket epoch is closed to new requests')
    if table.is_full:
        table.last_closed_epoch = table.current_epoch.number
        return _not_run(table, 'decision table is full')
    return _start(table, ticket, presented)


def _start(
    table: TicketTable,
    ticket: Ticket,
    presented: PresentedRequest,
) -> Start:
    decision = Decision(presented, ticket.epoch, ticket.attempt)
    table.decisions[presented.request_id] = decision
    table.request_ids_by_epoch[ticket.epoch].append(presented.request_id)
    return Start(decision)


def _store_answer(
    table: TicketTable,
    decision: Decision,
    answer: StoredAnswer | None,
) -> None:
    if answer is None or len(answer.body) > table.policy.max_answer_bytes:
        return
    request_id = decision.presented.request_id
    decision.answer = answer
    table.stored_answer_sizes[request_id] = _size_bytes(answer)
    table.stored_answers_bytes += _size_bytes(answer)
    while table.stored_answers_bytes > table.policy.max_stored_answers_bytes:
        _drop_answer(table, next(iter(table.stored_answer_sizes)))


def _drop_epoch(table: TicketTable, number: int) -> None:
    current_number = table.current_epoch.number
    for request_id in table.request_ids_by_epoch.pop(number):
        decision = table.decisions.get(request_id)
        if decision is None or decision.epoch != number:
            continue
        if decision.progress is Progress.RUNNING:
            decision.epoch = current_number
            table.request_ids_by_epoch[current_number].append(request_id)
        else:
            _drop_answer(table, request_id)
            table.decisions.pop(request_id)


def _drop_answer(table: TicketTable, request_id: str) -> None:
    table.stored_answers_bytes -= table.stored_answer_sizes.pop(request_id, 0)
    table.decisions[request_id].answer = None


def _size_bytes(answer: StoredAnswer) -> int:
    lengths = (len(name) + len(content) for name, content in answer.headers)
    return len(answer.body) + sum(lengths)


def _is_genuine(key: str, ticket: Ticket, presented: PresentedRequest) -> bool:
    attempt = ticket.attempt
    expected_mac = ticket_mac(
        key, presented.request_id, presented.service, attempt
    )
    return hmac.compare_digest(expected_mac.encode(), ticket.mac.encode())


def _is_same_request(
    known: PresentedRequest, presented: PresentedRequest
) -> bool:
    return known.service == presented.service and all(
        '' in pair or pair[0] == pair[1]
        for pair in (
            (known.fingerprint, presented.fingerprint),
            (known.body_digest, presented.body_digest),
        )
    )


def _unknown(table: TicketTable, detail: str) -> Told:
    return Told(Unknown(_STEP, table.owner, detail, Code.TICKET_REFUSED))


def _not_run(table: TicketTable, detail: str) -> Told:
    return Told(NotRun(Code.TICKET_REFUSED, _STEP, table.owner, detail))
