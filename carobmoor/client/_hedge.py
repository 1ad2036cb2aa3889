"""Hedging: a second attempt while the first one is under way."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from carobmoor.client._attempt_results import (
    abandon_answer,
    is_success,
    pick_result,
)
from carobmoor.client._request import SendResult


async def send_hedged(
    attempt: Callable[[], Awaitable[SendResult]],
    delay_s: float,
    take_hedge: Callable[[], bool],
) -> SendResult:
    """Make an attempt, and a second one if the first exceeds `delay_s`.

    The first successful result wins. The other attempt is cancelled, which
    closes its connection and so notifies the owner.
    """
    first_task = asyncio.ensure_future(attempt())
    tasks = [first_task]
    try:
        await asyncio.wait(tasks, timeout=delay_s)
        if not first_task.done() and take_hedge():
            tasks.append(asyncio.ensure_future(attempt()))
        send_result = await _first_success(tasks)
    except BaseException:
        for task in tasks:
            _cancel_and_abandon(task)
        raise
    return send_result


async def _first_success(
    tasks: Sequence[asyncio.Future[SendResult]],
) -> SendResult:
    pending = set(tasks)
    send_results: list[SendResult] = []
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        send_results.extend(task.result() for task in done)
        if any(is_success(send_result) for send_result in send_results):
            break
    for task in pending:
        _cancel_and_abandon(task)
    best_result = send_results[0]
    for send_result in send_results[1:]:
        best_result = pick_result(best_result, send_result)
    return best_result


def _cancel_and_abandon(task: asyncio.Future[SendResult]) -> None:
    task.cancel()
    task.add_done_callback(_abandon_result)


def _abandon_result(task: asyncio.Future[SendResult]) -> None:
    if not task.cancelled() and task.exception() is None:
        abandon_answer(task.result())
