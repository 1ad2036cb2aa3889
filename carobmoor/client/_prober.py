"""Probes candidates for their load, within the probe budget."""

import asyncio
import functools
import time
import types
from collections.abc import Awaitable, Generator
from typing import Any, Final, TypeVar, cast

from result import Err, Result

from carobmoor.history import EventKind, EventRecorder
from carobmoor.routing import (
    CandidateState,
    ProbeBudget,
    RoutingState,
    charge_probe,
    decode_report,
    next_probe,
    record_report,
)
from carobmoor.transport import (
    CallFailure,
    ConnectionPool,
    HeaderList,
    JsonAnswer,
    OutgoingRequest,
    request_json,
)

_PROBE_INTERVAL_S: Final = 0.1
_PROBE_TIMEOUT_S: Final = 0.5
_LOAD_REQUEST: Final = OutgoingRequest('GET', '/_carobmoor/load', ())
_REQUEST_BYTES: Final = 90
_STATUS_LINE_BYTES: Final = 19
_HEADER_SEPARATOR_BYTES: Final = 4

Awaited = TypeVar('Awaited')


class CpuMeter:
    """CPU time spent in a measured awaitable, in seconds."""

    def __init__(self) -> None:
        """Start at zero."""
        self.core_s = float(0)


@types.coroutine
def measure_cpu(
    awaitable: Awaitable[Awaited],
    meter: CpuMeter,
) -> Generator[Any, Any, Awaited]:
    """Await `awaitable` and add the CPU time of its own steps to `meter`.

    CPU time of other tasks that run in between is not counted.
    """
    iterator = awaitable.__await__()
    resume = functools.partial(next, iterator)
    while True:
        started_s = time.thread_time()
        try:
            yielded = resume()
        except StopIteration as stop:
            return cast(Awaited, stop.value)
        finally:
            meter.core_s += time.thread_time() - started_s
        resume = functools.partial(next, iterator)
        try:
            yield yielded
        except BaseException as error:
            # Pass cancellations and timeouts on to the awaitable.
            resume = functools.partial(iterator.throw, error)


async def probe_candidates_periodically(
    routing: RoutingState,
    pool: ConnectionPool,
    record: EventRecorder,
) -> None:
    """Probe candidates one at a time until cancelled."""
    budget = ProbeBudget(routing.policy)
    while True:
        await asyncio.sleep(_PROBE_INTERVAL_S)
        budget.apply_policy(routing.policy)
        target = next_probe(routing, budget, time.monotonic())
        if target is not None:
            record(EventKind.PROBED, subject=str(target[1].address))
            await _probe_candidate(routing, pool, budget, *target)


async def _probe_candidate(
    routing: RoutingState,
    pool: ConnectionPool,
    budget: ProbeBudget,
    service: str,
    candidate: CandidateState,
) -> None:
    candidate.probed_at_s = time.monotonic()
    meter = CpuMeter()
    request = request_json(
        pool, candidate.address, _LOAD_REQUEST, _PROBE_TIMEOUT_S
    )
    probe_result = await measure_cpu(request, meter)
    charge_probe(routing, budget, _probe_bytes(probe_result), meter.core_s)
    if isinstance(probe_result, Err):
        return
    report = decode_report(probe_result.ok_value.body.decode('latin-1'))
    if report is not None:
        record_report(routing, service, candidate, report, time.monotonic())


def _probe_bytes(probe_result: Result[JsonAnswer, CallFailure]) -> int:
    if isinstance(probe_result, Err):
        return _REQUEST_BYTES
    answer = probe_result.ok_value
    head_bytes = _STATUS_LINE_BYTES + _header_bytes(answer.head.headers)
    return _REQUEST_BYTES + head_bytes + len(answer.body)


def _header_bytes(headers: HeaderList) -> int:
    return sum(
        len(name) + len(content) + _HEADER_SEPARATOR_BYTES
        for name, content in headers
    )
