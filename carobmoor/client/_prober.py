"""Probes candidates for their load, within the probe budget."""

import asyncio
import functools
import time
import types
from collections.abc import Awaitable, Generator
from typing import Any, Final, TypeVar, cast

from result import Err, Result

from carobmoor.history import Kind, Record
from carobmoor.routing import (
    CandidateState,
    ProbeBudget,
    RoutingState,
    decode_report,
    next_probe,
    note_report,
    probe_ended,
)
from carobmoor.transport import (
    CallFailure,
    ConnectionPool,
    HeaderList,
    JsonAnswer,
    OutgoingRequest,
    request_json,
)

_INTERVAL_S: Final = 0.1
_TIMEOUT_S: Final = 0.5
_REQUEST: Final = OutgoingRequest('GET', '/_carobmoor/load', ())
_REQUEST_BYTES: Final = 90
_STATUS_LINE_BYTES: Final = 19
_HEADER_EXTRA_BYTES: Final = 4

Awaited = TypeVar('Awaited')


class CoreMeter:
    """CPU time spent in a measured awaitable, in seconds."""

    def __init__(self) -> None:
        """Start at zero."""
        self.core_s = float(0)


@types.coroutine
def metered(
    inner: Awaitable[Awaited],
    meter: CoreMeter,
) -> Generator[Any, Any, Awaited]:
    """Await `inner` and add the CPU time of its own steps to `meter`.

    CPU time of other tasks that run in between is not counted.
    """
    steps = inner.__await__()
    resume = functools.partial(next, steps)
    while True:
        begun_s = time.thread_time()
        try:
            awaited = resume()
        except StopIteration as stop:
            return cast(Awaited, stop.value)
        finally:
            meter.core_s += time.thread_time() - begun_s
        resume = functools.partial(next, steps)
        try:
            yield awaited
        except BaseException as error:
            # Pass cancellations and timeouts on to the awaitable.
            resume = functools.partial(steps.throw, error)


async def keep_probing(
    routing: RoutingState,
    pool: ConnectionPool,
    record: Record,
) -> None:
    """Probe candidates one at a time until cancelled."""
    budget = ProbeBudget(routing.policy)
    while True:
        await asyncio.sleep(_INTERVAL_S)
        budget.follow(routing.policy)
        found = next_probe(routing, budget, time.monotonic())
        if found is not None:
            record(Kind.PROBED, subject=str(found[1].address))
            await _probe(routing, pool, budget, *found)


async def _probe(
    routing: RoutingState,
    pool: ConnectionPool,
    budget: ProbeBudget,
    service: str,
    known: CandidateState,
) -> None:
    known.probed_at_s = time.monotonic()
    meter = CoreMeter()
    asking = request_json(pool, known.address, _REQUEST, _TIMEOUT_S)
    told = await metered(asking, meter)
    probe_ended(routing, budget, _bytes_of(told), meter.core_s)
    if isinstance(told, Err):
        return
    report = decode_report(told.ok_value.body.decode('latin-1'))
    if report is not None:
        note_report(routing, service, known, report, time.monotonic())


def _bytes_of(told: Result[JsonAnswer, CallFailure]) -> int:
    if isinstance(told, Err):
        return _REQUEST_BYTES
    answer = told.ok_value
    head_bytes = _STATUS_LINE_BYTES + _header_bytes(answer.head.headers)
    return _REQUEST_BYTES + head_bytes + len(answer.body)


def _header_bytes(headers: HeaderList) -> int:
    return sum(
        len(name) + len(content) + _HEADER_EXTRA_BYTES
        for name, content in headers
    )
