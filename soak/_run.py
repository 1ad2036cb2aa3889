"""Runs one seed of the soak test: faults, callers and verdict."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from carobmoor.history import EventKind
from carobmoor.transport import ConnectionPool
from proofs._types import Breach
from soak._callers import REQUEST_KINDS, RequestKind, call, call_until_cancelled
from soak._fault import Fault
from soak._faults import draw_faults, inject_fault
from soak._odd_entries import draw_odd_entries
from soak._pipelining import pipeline_until_cancelled
from soak._report_faults import draw_reports
from soak._rules import check_history
from soak._stage import Place, SoakDeployment, probe_target

_CALLERS_PER_NODE: Final = 3
# Every node must serve again within this time after the last mending.
_RECOVERY_S: Final = 15
_OK: Final = 200
_POLL_INTERVAL_S: Final = 0.1
_NOT_FOUND: Final = 404
_LOG_LINES: Final = 40


class Verdict(NamedTuple):
    """The result of a run."""

    breaches: Sequence[Breach]
    # The number of events by kind, among them the outcomes of requests.
    outcomes: Mapping[str, int]
    # The last log lines of each node, by its IP; empty without a breach.
    logs: Mapping[str, str]


def draw_all_faults(seed: int, span_s: float, nodes: int) -> Sequence[Fault]:
    """Draw the faults of a seed, with reports of servers and odd entries."""
    return (
        *draw_faults(seed, span_s, nodes),
        *draw_reports(seed, span_s, nodes),
        *draw_odd_entries(seed, span_s, nodes),
    )


async def run_seed(seed: int, span_s: float, nodes: int) -> Verdict:
    """Play a seed's faults under load, wait for recovery, and check it all."""
    async with SoakDeployment(nodes) as deployment:
        await deployment.start_all()
        rng = random.Random(seed)
        tasks = [asyncio.create_task(_watch_exits(deployment))]
        for called_place in deployment.places:
            for _ in range(_CALLERS_PER_NODE):
                calling = _call_while_ready(deployment, called_place, rng)
                tasks.append(asyncio.create_task(calling))
        faults = draw_all_faults(seed, span_s, nodes)
        await asyncio.gather(
            *(inject_fault(deployment, fault) for fault in faults)
        )
        breaches = [
            *await _await_recovery(deployment),
            *await _check_version(deployment),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ended = {
            event.request_id
            for event in deployment.events
            if _is_outcome(event)
        }
        # Requests that were cut by the end of the run are ignored.
        history = [
            event
            for event in deployment.events
            if not event.request_id or event.request_id in ended
        ]
        breaches += check_history(history)
        kinds = Counter(event.kind.value for event in history)
        logs = {}
        if breaches:
            logs = {
                place.ip: _log_tail(deployment, place)
                for place in deployment.places
            }
        return Verdict(breaches, kinds, logs)


def _is_outcome(event: Any) -> bool:
    return event.kind in {
        EventKind.ANSWERED,
        EventKind.REFUSED,
        EventKind.UNKNOWN,
    }


async def _call_while_ready(
    deployment: SoakDeployment,
    place: Place,
    rng: random.Random,
) -> None:
    """Send requests to a node whenever it is ready, also after restarts."""
    address = deployment.caller_address(place)
    while True:
        if not await deployment.is_ready(place):
            await asyncio.sleep(_POLL_INTERVAL_S)
            continue
        calling = asyncio.gather(
            call_until_cancelled(deployment.record, address, rng),
            pipeline_until_cancelled(deployment.record, address, rng),
        )
        try:
            await deployment.wait_ended(place)
        finally:
            calling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await calling


async def _watch_exits(deployment: SoakDeployment) -> None:
    """Record processes that exit by themselves with an error code."""
    seen: set[int] = set()
    while True:
        await asyncio.sleep(_POLL_INTERVAL_S)
        for process in deployment.processes.values():
            code = process.returncode
            if code is not None and code > 0 and process.pid not in seen:
                seen.add(process.pid)
                detail = f'exited by itself with code {code}'
                deployment.record(
                    EventKind.STOPPED, f'pid {process.pid}', detail=detail
                )


async def _await_recovery(deployment: SoakDeployment) -> Sequence[Breach]:
    """Wait until every node serves every kind of request again.

    Returns a breach for each node and kind that does not in time.
    """
    until_s = time.monotonic() + _RECOVERY_S
    failing = {
        (place, request_kind)
        for place in deployment.places
        for request_kind in REQUEST_KINDS
    }
    while failing and time.monotonic() < until_s:
        for node_and_kind in tuple(failing):
            if await _call_once(deployment, *node_and_kind) == _OK:
                failing.discard(node_and_kind)
        await asyncio.sleep(_POLL_INTERVAL_S)
    return [
        Breach(
            'recovery',
            f'{place.ip} does not serve {request_kind.target} again',
            (),
        )
        for place, request_kind in failing
    ]


async def _check_version(deployment: SoakDeployment) -> Sequence[Breach]:
    """Return a breach for each node without the newest version in force."""
    request_kind = RequestKind(
        'GET', probe_target(deployment.version), 0, repeatable=True
    )
    return [
        Breach(
            'in force',
            f'{place.ip} does not have version r{deployment.version}',
            (),
        )
        for place in deployment.places
        if await _call_once(deployment, place, request_kind) == _NOT_FOUND
    ]


async def _call_once(
    deployment: SoakDeployment, place: Place, request_kind: RequestKind
) -> int:
    pool = ConnectionPool()
    try:
        address = deployment.caller_address(place)
        return await call(deployment.record, pool, address, request_kind)
    finally:
        pool.close()


def _log_tail(deployment: SoakDeployment, place: Place) -> str:
    lines = deployment.log_of(place).read_text(errors='replace').splitlines()
    return '\n'.join(lines[-_LOG_LINES:])
