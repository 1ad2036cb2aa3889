"""The decisions on tickets, as functions over the table and a time."""

import hmac
from typing import Final

from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.tickets._messages import (
    KeptAnswer,
    Presented,
    Progress,
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
    presented: Presented,
    now_s: float,
) -> Verdict:
    """Judge a request that comes with a ticket."""
    advance(table, now_s)
    if ticket.incarnation != table.incarnation:
        return _unknown(table, 'the ticket names another incarnation')
    if not _is_genuine(table.key_of(ticket.epoch), ticket, presented):
        return _unknown(table, 'the ticket was not minted from a grant')
    known = table.decisions.get(presented.request_id)
    if known is not None:
        return _judge_known(table, known, ticket, presented)
    if table.accepted(ticket.epoch) is None:
        return _unknown(table, 'the epoch of the ticket is over')
    return _judge_new(table, ticket, presented)


def settle(
    table: TicketTable,
    decision: Decision,
    outcome: KeptAnswer | Failure | None,
) -> None:
    """Note how a started request ended, and wake its copies.

    `None` stands for an answer that is too large to keep.
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
        _keep(table, decision, outcome)
    for waiter in decision.waiters:
        if not waiter.done():
            waiter.set_result(None)
    decision.waiters = []


def told(table: TicketTable, decision: Decision) -> Told:
    """Tell a copy how the request that it repeats ended."""
    if decision.failure is not None:
        return Told(decision.failure)
    if decision.answer is not None:
        return Told(decision.answer)
    detail = 'the answer is not kept'
    return Told(Unknown(_STEP, table.owner, detail, Code.ALREADY_RUN))


def advance(table: TicketTable, now_s: float) -> None:
    """Open the next epoch when it is due and forget those that are over."""
    age_s = now_s - table.newest.started_s
    is_due = age_s * _MS_PER_S >= table.policy.epoch_ms
    is_closed = table.newest.number <= table.closed_through
    if is_due or (is_closed and not table.is_full):
        table.open_epoch(now_s)
    oldest_s = now_s - table.lifetime_s
    while table.epochs[0].started_s < oldest_s and len(table.epochs) > 1:
        _forget(table, table.epochs.popleft().number)


def _judge_known(
    table: TicketTable,
    known: Decision,
    ticket: Ticket,
    presented: Presented,
) -> Verdict:
    if not _is_same(known.presented, presented):
        detail = 'the request id belongs to another request'
        return Told(Unknown(_STEP, table.owner, detail, Code.CONFLICT))
    if known.progress is Progress.RUNNING:
        return Wait(known)
    is_next = ticket.attempt > known.attempt
    is_accepted = table.accepted(ticket.epoch) is not None
    if known.progress is Progress.REFUSED and is_next and is_accepted:
        return _start(table, ticket, presented)
    return told(table, known)


def _judge_new(
    table: TicketTable,
    ticket: Ticket,
    presented: Presented,
) -> Verdict:
    # Whatever was started under an accepted epoch is known, so a request
    # that is not known did not run.
    if ticket.epoch <= table.closed_through:
        return _not_run(table, 'the epoch is closed to new requests')
    if table.is_full:
        table.closed_through = table.newest.number
        return _not_run(table, 'the table of decisions is full')
    return _start(table, ticket, presented)


def _start(
    table: TicketTable,
    ticket: Ticket,
    presented: Presented,
) -> Start:
    decision = Decision(presented, ticket.epoch, ticket.attempt)
    table.decisions[presented.request_id] = decision
    table.filed[ticket.epoch].append(presented.request_id)
    return Start(decision)


def _keep(
    table: TicketTable,
    decision: Decision,
    answer: KeptAnswer | None,
) -> None:
    if answer is None or len(answer.body) > table.policy.most_answer_bytes:
        return
    request_id = decision.presented.request_id
    decision.answer = answer
    table.kept[request_id] = _bytes_of(answer)
    table.kept_bytes += _bytes_of(answer)
    while table.kept_bytes > table.policy.most_kept_bytes:
        _drop_answer(table, next(iter(table.kept)))


def _forget(table: TicketTable, number: int) -> None:
    newest = table.newest.number
    for request_id in table.filed.pop(number):
        decision = table.decisions.get(request_id)
        if decision is None or decision.epoch != number:
            continue
        if decision.progress is Progress.RUNNING:
            decision.epoch = newest
            table.filed[newest].append(request_id)
        else:
            _drop_answer(table, request_id)
            table.decisions.pop(request_id)


def _drop_answer(table: TicketTable, request_id: str) -> None:
    table.kept_bytes -= table.kept.pop(request_id, 0)
    table.decisions[request_id].answer = None


def _bytes_of(answer: KeptAnswer) -> int:
    lengths = (len(name) + len(content) for name, content in answer.headers)
    return len(answer.body) + sum(lengths)


def _is_genuine(key: str, ticket: Ticket, presented: Presented) -> bool:
    attempt = ticket.attempt
    wanted = ticket_mac(key, presented.request_id, presented.service, attempt)
    return hmac.compare_digest(wanted.encode(), ticket.mac.encode())


def _is_same(known: Presented, presented: Presented) -> bool:
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
