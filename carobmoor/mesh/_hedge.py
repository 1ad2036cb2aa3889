"""Hedging: a second attempt of an idempotent request that seems stuck."""

import asyncio
import time
from typing import Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.mesh._attempt import attempt, choose_peer
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._read_answer import ReadAnswer, read_start
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Failure, Unknown
from carobmoor.telemetry import logger_for
from carobmoor.transport import AnswerIncomplete, get_header

_MS_PER_S: Final = 1000
# Multiple of the typical answer time after which a hedge is sent.
_STUCK_MULTIPLE: Final = 2
# Interval of the checks whether the first owner seems down.
_POLL_S: Final = 0.05
_log = logger_for('hedge')

AttemptResult = Result[ReadAnswer, Failure]


class AttemptOutcome(NamedTuple):
    """The owner that answered first or failed last, and its result."""

    peer: Peer
    sent: AttemptResult


async def attempt_hedged(
    node: MeshNode,
    pending: PendingRequest,
    peer: Peer,
) -> AttemptOutcome:
    """Attempt a request, and hedge it on another owner when it seems stuck.

    Returns the first answer and cancels the other attempt. Requests that may
    not run twice are never hedged.
    """
    if not pending.may_run_again:
        return AttemptOutcome(peer, await _attempt(node, pending, peer))
    attempts = {asyncio.create_task(_attempt(node, pending, peer)): peer}
    try:
        return await _race(node, pending, attempts)
    finally:
        for task in attempts:
            # What has not ended by now may have run.
            pending.may_have_run = pending.may_have_run or not task.done()
            # Nothing is awaited here: cancelled meanwhile, the first answer
            # and the attempts not yet cancelled would have no owner.
            task.cancel()
            task.add_done_callback(_abandon_answer)


async def _attempt(
    node: MeshNode, pending: PendingRequest, peer: Peer
) -> AttemptResult:
    """Attempt a request, and read the start of its answer.

    An answer that breaks off there is a failed attempt, beside which another
    one goes on.
    """
    sent = await attempt(node, pending, peer)
    if isinstance(sent, Err):
        return sent
    try:
        return Ok(await read_start(sent.ok_value))
    except AnswerIncomplete as broken:
        peer.success.record_outcome(False, time.monotonic())
        lost = broken.failure
        return Err(Unknown('answer', lost.peer, lost.reason))


async def _race(
    node: MeshNode,
    pending: PendingRequest,
    attempts: dict[asyncio.Task[AttemptResult], Peer],
) -> AttemptOutcome:
    first, peer = next(iter(attempts.items()))
    await _wait_until_stuck(node, pending, peer, first)
    hedge_peer = None
    if not first.done():
        hedge_peer = await _choose_hedge(node, pending, first)
    if hedge_peer is not None:
        attempts[asyncio.create_task(_attempt(node, pending, hedge_peer))] = (
            hedge_peer
        )
    return await _first_answer(pending, attempts)


async def _wait_until_stuck(
    node: MeshNode,
    pending: PendingRequest,
    peer: Peer,
    task: asyncio.Task[AttemptResult],
) -> None:
    """Wait until the attempt ends, its owner seems down or it is overdue."""
    typical_s = (
        node.times.response_times.typical_ms(pending.route.name) / _MS_PER_S
    )
    delay_s = node.resend_budget.hedges.delay_s(
        pending.route.name, _STUCK_MULTIPLE * typical_s
    )
    if delay_s is None:
        await asyncio.wait((task,))
        return
    stuck_at_s = time.monotonic() + delay_s
    while not task.done():
        now_s = time.monotonic()
        if now_s >= stuck_at_s or peer.avoided_until_s > now_s:
            return
        wait_s = min(_POLL_S, stuck_at_s - now_s)
        await asyncio.wait((task,), timeout=wait_s)


async def _choose_hedge(
    node: MeshNode,
    pending: PendingRequest,
    first: asyncio.Task[AttemptResult],
) -> Peer | None:
    """Choose an owner with a free slot for a hedge, within the budget.

    Records the hedge as sent. Returns `None` when none may be sent or when
    the first attempt ends meanwhile.
    """
    hedges = node.resend_budget.hedges
    has_attempts = pending.sends + 1 < pending.route.max_attempts
    if not has_attempts or not hedges.allows(pending.service):
        return None
    hedge_peer = await choose_peer(node, pending)
    now_s = time.monotonic()
    if first.done() or hedge_peer is None or hedge_peer.avoided_until_s > now_s:
        return None
    load = hedge_peer.load
    if load is not None and load.start_interval_ms:
        # A server in need gets no request that another one already has.
        return None
    outstanding = (
        hedge_peer.in_flight if load is None else load.running + load.waiting
    )
    if outstanding >= hedge_peer.concurrency_limit:
        return None
    nodes = sum(1 for _ in node.peers)
    if not node.resend_budget.try_spend(pending.service, nodes, now_s):
        return None
    hedges.take(pending.service)
    node.metrics.resends.labels(pending.service).inc()
    node.metrics.hedges.labels(pending.service).inc()
    pending.tried.append(hedge_peer.address)
    pending.sends += 1
    request = pending.request
    _log.info(
        'Hedge sent.',
        request_id=get_header(request.headers, node.names.request_id),
        route=pending.route.name,
        tried=[str(address) for address in pending.tried],
        left_ms=int(pending.remaining_s * _MS_PER_S),
    )
    return hedge_peer


async def _first_answer(
    pending: PendingRequest,
    attempts: dict[asyncio.Task[AttemptResult], Peer],
) -> AttemptOutcome:
    """Return the first answer, or the last failure if every attempt fails."""
    unfinished = set(attempts)
    while True:
        done, unfinished = await asyncio.wait(
            unfinished,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended = done.pop()
        unfinished |= done
        sent = ended.result()
        if isinstance(sent, Ok) or not unfinished:
            return AttemptOutcome(attempts.pop(ended), sent)
        pending.may_have_run = pending.may_have_run or isinstance(
            sent.err_value, Unknown
        )


def _abandon_answer(task: asyncio.Task[AttemptResult]) -> None:
    """Release what the answer of an attempt holds that nobody waits for."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.warning('Cancelled attempt failed.', error=repr(error))
    elif isinstance(task.result(), Ok):
        task.result().unwrap().abandon('another attempt was answered')
