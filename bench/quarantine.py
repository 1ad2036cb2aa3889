"""A request that crashes backend servers and is resent through all nodes.

Nodes and backend servers are separate processes under a steady load of other
calls. A crashed backend server is restarted after a delay, as an operator's
supervisor would do.
"""

import asyncio
import itertools
import sys
import time
from collections import Counter
from typing import Any, Final, NamedTuple

from carobmoor import Call, Client, NotRun
from stand_ins.deployment import Deployment, Place, ServerPair, read_example

_PLACES: Final = tuple(
    Place('bookings', region, f'{region}-{zone}', service_ms=20)
    for region in ('lagos', 'abuja', 'ibadan')
    for zone in 'ab'
)
_CRASHING_CALL: Final = Call(
    'bookings',
    'POST',
    '/crash',
    b'bad',
    headers=((b'x-crash', b'1'),),
    rank='booking',
)
_CALL_INTERVAL_S: Final = 0.005
_RESTART_AFTER_S: Final = 1
_QUARANTINE_PATH: Final = '/_carobmoor/quarantine'


class Round(NamedTuple):
    """Figures of one round of sending the crashing request."""

    crashes: int
    refused_after_s: float
    quarantined: int
    marked: int
    other_calls: Counter[str]


def measure_quarantine(sendings: int = 40, rounds: int = 3) -> None:
    """Print how many backend servers one crashing request takes down.

    Args:
        sendings: How often the caller sends the request in a round.
        rounds: Number of rounds, each on a new deployment.
    """
    asyncio.run(_measure(sendings, rounds))


async def _measure(sendings: int, rounds: int) -> None:
    _write_line('crashes  refused after s  quarantined  marked  beside it')
    for _ in range(rounds):
        result = await _run_round(sendings)
        other_calls = ', '.join(
            f'{count} {outcome}'
            for outcome, count in sorted(result.other_calls.items())
        )
        _write_line(
            f'{result.crashes:>7}{result.refused_after_s:>17.2f}'
            f'{result.quarantined:>13}{result.marked:>8}  {other_calls}',
        )


async def _run_round(sendings: int) -> Round:
    async with Deployment() as deployment:
        await deployment.start(_PLACES, read_example('adeyemi'))
        contacts = [str(pair.node) for pair in deployment.pairs]
        crashes: Counter[str] = Counter()
        other_calls: Counter[str] = Counter()
        async with Client(contacts, 'bench') as client:
            background = [
                asyncio.create_task(
                    _restart_after_crashes(deployment, pair, crashes)
                )
                for pair in deployment.pairs
            ]
            background.append(
                asyncio.create_task(_send_other_calls(client, other_calls))
            )
            refused_after_s = await _send_crashing_call(client, sendings)
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        marks = await deployment.request_control(
            deployment.pairs[0].node, 'GET', _QUARANTINE_PATH
        )
        quarantined = sum(1 for mark in marks if _crash_count(mark) > 1)
        return Round(
            crashes.total(),
            refused_after_s,
            quarantined,
            len(marks) - quarantined,
            other_calls,
        )


async def _send_crashing_call(client: Client, sendings: int) -> float:
    """Send the request repeatedly.

    Returns the seconds after which every call was refused as not run.
    """
    started_s = time.monotonic()
    last_unrefused_s = float(0)
    for _ in range(sendings):
        result = await client.call(_CRASHING_CALL)
        if not isinstance(result.err(), NotRun):
            last_unrefused_s = time.monotonic() - started_s
        await asyncio.sleep(0.1)
    return last_unrefused_s


async def _send_other_calls(client: Client, outcomes: Counter[str]) -> None:
    """Start an independent call every few milliseconds, until cancelled."""
    calls: set[asyncio.Task[None]] = set()
    for number in itertools.count():
        task = asyncio.create_task(_call(client, number, outcomes))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(_CALL_INTERVAL_S)


async def _call(client: Client, number: int, outcomes: Counter[str]) -> None:
    call = Call('bookings', 'POST', f'/{number}', b'x', rank='booking')
    result = await client.call(call)
    failure = result.err()
    outcomes['answered' if failure is None else failure.code.value] += 1


async def _restart_after_crashes(
    deployment: Deployment,
    pair: ServerPair,
    crashes: Counter[str],
) -> None:
    """Restart a backend server each time it dies, and count its crashes."""
    while True:
        await deployment.processes[f'backend {pair.name}'].wait()
        crashes[pair.name] += 1
        await asyncio.sleep(_RESTART_AFTER_S)
        await deployment.start_backend(pair)


def _crash_count(mark: Any) -> int:
    return len(set(mark['crash_ids']) - set(mark['cleared_ids']))


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
