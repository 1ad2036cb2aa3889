"""Hedging: a second attempt while the first one is under way."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from carobmoor.client._request import Sent
from carobmoor.client._verdict import abandon, is_good, settle


async def race(
    attempt: Callable[[], Awaitable[Sent]],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> Sent:
    """Make an attempt, and a second one if the first exceeds `delay_s`.

    The first successful result wins. The other attempt is cancelled, which
    closes its connection and so notifies the owner.
    """
    first = asyncio.ensure_future(attempt())
    runners = [first]
    try:
        await asyncio.wait(runners, timeout=delay_s)
        if not first.done() and may_hedge():
            runners.append(asyncio.ensure_future(attempt()))
        sent = await _first_good(runners)
    except BaseException:
        for runner in runners:
            _drop(runner)
        raise
    return sent


async def _first_good(runners: Sequence[asyncio.Future[Sent]]) -> Sent:
    waiting = set(runners)
    ended: list[Sent] = []
    while waiting:
        done, waiting = await asyncio.wait(
            waiting,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended.extend(runner.result() for runner in done)
        if any(is_good(sent) for sent in ended):
            break
    for runner in waiting:
        _drop(runner)
    told = ended[0]
    for sent in ended[1:]:
        told = settle(told, sent)
    return told


def _drop(runner: asyncio.Future[Sent]) -> None:
    runner.cancel()
    runner.add_done_callback(_abandon_result)


def _abandon_result(runner: asyncio.Future[Sent]) -> None:
    if not runner.cancelled() and runner.exception() is None:
        abandon(runner.result())
