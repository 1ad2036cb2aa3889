"""Runs one seed of the soak test: faults, callers and verdict."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from carobmoor.history import Kind
from carobmoor.transport import ConnectionPool
from proofs._messages import Breach
from soak._callers import KINDS, Wanted, call, call_always
from soak._faults import draw_faults, play_fault
from soak._judge import judge
from soak._stage import Place, Stage, probe_target

_CALLERS_A_NODE: Final = 3
# Every node must serve again within this time after the last mending.
_RECOVERY_S: Final = 15
_OK: Final = 200
_LOOK_S: Final = 0.1
_NOT_FOUND: Final = 404
_LOG_LINES: Final = 40


class Verdict(NamedTuple):
    """The result of a run."""

    breaches: Sequence[Breach]
    # The number of events by kind, among them the outcomes of requests.
    outcomes: Mapping[str, int]
    # The last log lines of each node, by its IP; empty without a breach.
    logs: Mapping[str, str]


async def run_seed(seed: int, span_s: float, nodes: int) -> Verdict:
    """Play the faults of a seed under load, wait for recovery, and judge."""
    async with Stage(nodes) as stage:
        await stage.open()
        rng = random.Random(seed)
        watchers = [asyncio.create_task(_watch_ends(stage))]
        for called in stage.places:
            for _ in range(_CALLERS_A_NODE):
                calling = _call_while_ready(stage, called, rng)
                watchers.append(asyncio.create_task(calling))
        faults = draw_faults(seed, span_s, nodes)
        await asyncio.gather(*(play_fault(stage, one) for one in faults))
        breaches = [*await _recover(stage), *await _probe(stage)]
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        ended = {event.request_id for event in stage.events if _is_end(event)}
        # Requests that were cut by the end of the run are ignored.
        history = [
            event
            for event in stage.events
            if not event.request_id or event.request_id in ended
        ]
        breaches += judge(history)
        kinds = Counter(event.kind.value for event in history)
        logs = {}
        if breaches:
            logs = {place.ip: _tail(stage, place) for place in stage.places}
        return Verdict(breaches, kinds, logs)


def _is_end(event: Any) -> bool:
    return event.kind in {Kind.ANSWERED, Kind.REFUSED, Kind.UNKNOWN}


async def _call_while_ready(
    stage: Stage,
    place: Place,
    rng: random.Random,
) -> None:
    """Send requests to a node whenever it runs, anew after each restart."""
    address = stage.caller_address(place)
    while True:
        if not await stage.is_ready(place):
            await asyncio.sleep(_LOOK_S)
            continue
        calling = asyncio.create_task(call_always(stage.note, address, rng))
        try:
            await stage.end(place)
        finally:
            calling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await calling


async def _watch_ends(stage: Stage) -> None:
    """Record processes that exit by themselves with an error code."""
    seen: set[int] = set()
    while True:
        await asyncio.sleep(_LOOK_S)
        for process in stage.processes.values():
            code = process.returncode
            if code is not None and code > 0 and process.pid not in seen:
                seen.add(process.pid)
                detail = f'exited by itself with code {code}'
                stage.note(Kind.STOPPED, f'pid {process.pid}', detail=detail)


async def _recover(stage: Stage) -> Sequence[Breach]:
    """Wait until every node serves every kind of request again.

    Returns a breach for each node and kind that does not in time.
    """
    until_s = time.monotonic() + _RECOVERY_S
    failing = {(place, wanted) for place in stage.places for wanted in KINDS}
    while failing and time.monotonic() < until_s:
        for asked in tuple(failing):
            if await _ask(stage, *asked) == _OK:
                failing.discard(asked)
        await asyncio.sleep(_LOOK_S)
    return [
        Breach(
            'recovery', f'{place.ip} does not serve {wanted.target} again', ()
        )
        for place, wanted in failing
    ]


async def _probe(stage: Stage) -> Sequence[Breach]:
    """Return a breach for each node without the newest version in force."""
    wanted = Wanted('GET', probe_target(stage.version), 0, repeatable=True)
    return [
        Breach(
            'in force', f'{place.ip} does not have version r{stage.version}', ()
        )
        for place in stage.places
        if await _ask(stage, place, wanted) == _NOT_FOUND
    ]


async def _ask(stage: Stage, place: Place, wanted: Wanted) -> int:
    pool = ConnectionPool()
    try:
        address = stage.caller_address(place)
        return await call(stage.note, pool, address, wanted)
    finally:
        pool.close()


def _tail(stage: Stage, place: Place) -> str:
    lines = stage.log_of(place).read_text(errors='replace').splitlines()
    return '\n'.join(lines[-_LOG_LINES:])
