"""Hedging: a second attempt of an idempotent request that seems stuck."""

import asyncio
import time
from typing import Final, NamedTuple

from result import Ok, Result

from carobmoor.mesh._attempt import attempt, choose_peer
from carobmoor.mesh._order import Running
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pursuit import Pursuit
from carobmoor.mesh._relay import drop
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Failure
from carobmoor.telemetry import logger_for
from carobmoor.transport import header_of

_MS_PER_S: Final = 1000
# Multiple of the typical answer time after which a hedge is sent.
_STUCK_TIMES: Final = 2
# Interval of the checks whether the first owner seems down.
_LOOK_S: Final = 0.05
_log = logger_for('hedge')

Sent = Result[Running, Failure]


class Attempted(NamedTuple):
    """The owner that answered first or failed last, and its result."""

    peer: Peer
    sent: Sent


async def attempt_hedged(
    node: MeshNode,
    pursuit: Pursuit,
    peer: Peer,
) -> Attempted:
    """Attempt a request, and hedge it on another owner when it seems stuck.

    Returns the first answer and cancels the other attempt. Requests that may
    not run twice are never hedged.
    """
    if not pursuit.may_repeat:
        return Attempted(peer, await attempt(node, pursuit, peer))
    copies = {asyncio.create_task(attempt(node, pursuit, peer)): peer}
    try:
        return await _race(node, pursuit, copies)
    finally:
        for copy in copies:
            await _cancel(copy)


async def _race(
    node: MeshNode,
    pursuit: Pursuit,
    copies: dict[asyncio.Task[Sent], Peer],
) -> Attempted:
    first, peer = next(iter(copies.items()))
    await _wait_stuck(node, pursuit, peer, first)
    second = None if first.done() else _second(node, pursuit)
    if second is not None:
        copies[asyncio.create_task(attempt(node, pursuit, second))] = second
    return await _first_answer(copies)


async def _wait_stuck(
    node: MeshNode,
    pursuit: Pursuit,
    peer: Peer,
    copy: asyncio.Task[Sent],
) -> None:
    """Wait until the attempt ends, its owner seems down or it is overdue."""
    usual_s = node.times.answers.usual_ms(pursuit.route.name) / _MS_PER_S
    stuck_at_s = time.monotonic() + _STUCK_TIMES * usual_s
    while not copy.done():
        now_s = time.monotonic()
        if now_s >= stuck_at_s or peer.down_until_s > now_s:
            return
        wait_s = min(_LOOK_S, stuck_at_s - now_s)
        await asyncio.wait((copy,), timeout=wait_s)


def _second(node: MeshNode, pursuit: Pursuit) -> Peer | None:
    """Choose an owner with a free slot for a hedge, within the budget.

    Records the hedge as sent. Returns `None` when none may be sent.
    """
    if pursuit.sends + 1 >= pursuit.route.most_attempts:
        return None
    second = choose_peer(node, pursuit)
    now_s = time.monotonic()
    if second is None or second.down_until_s > now_s:
        return None
    load = second.load
    busy = second.in_flight if load is None else load.running + load.waiting
    if busy >= second.room:
        return None
    nodes = sum(1 for _ in node.peers)
    if not node.budget.take(pursuit.service, nodes, now_s):
        return None
    node.metrics.repeats.labels(pursuit.service).inc()
    pursuit.tried.append(second.address)
    pursuit.sends += 1
    pursuit.may_have_run = True
    request = pursuit.request
    _log.info(
        'Hedge sent.',
        request_id=header_of(request.headers, node.names.request_id),
        route=pursuit.route.name,
        tried=[str(address) for address in pursuit.tried],
        left_ms=int(pursuit.left_s * _MS_PER_S),
    )
    return second


async def _first_answer(copies: dict[asyncio.Task[Sent], Peer]) -> Attempted:
    """Return the first answer, or the last failure if every attempt fails."""
    open_copies = set(copies)
    while True:
        done, open_copies = await asyncio.wait(
            open_copies,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended = done.pop()
        open_copies |= done
        if isinstance(ended.result(), Ok) or not open_copies:
            peer = copies.pop(ended)
            return Attempted(peer, ended.result())


async def _cancel(copy: asyncio.Task[Sent]) -> None:
    """Cancel an attempt, and discard its answer so that its slot is freed."""
    copy.cancel()
    ended = (await asyncio.gather(copy, return_exceptions=True))[0]
    if isinstance(ended, Ok):
        await drop(ended.ok_value)
