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
from stand_ins.deployment import Deployment, Pair, Place, read_example

_PLACES: Final = tuple(
    Place('bookings', region, f'{region}-{zone}', service_ms=20)
    for region in ('lagos', 'abuja', 'ibadan')
    for zone in 'ab'
)
_CRASHING: Final = Call(
    'bookings',
    'POST',
    '/crash',
    b'bad',
    headers=((b'x-crash', b'1'),),
    rank='booking',
)
_STEADY_GAP_S: Final = 0.005
_RESTART_AFTER_S: Final = 1
_MARKS: Final = '/_carobmoor/quarantine'


class Round(NamedTuple):
    """Figures of one round of sending the crashing request."""

    crashes: int
    first_refusal_s: float
    quarantined: int
    marked: int
    steady: Counter[str]


def measure_quarantine(sendings: int = 40, rounds: int = 3) -> None:
    """Print how many backend servers one crashing request takes down.

    Args:
        sendings: How often the caller sends the request in a round.
        rounds: Number of rounds, each on a new deployment.
    """
    asyncio.run(_measure(sendings, rounds))


async def _measure(sendings: int, rounds: int) -> None:
    _say('crashes  refused after s  quarantined  marked  beside it')
    for _ in range(rounds):
        one = await _round(sendings)
        beside = ', '.join(
            f'{count} {what}' for what, count in sorted(one.steady.items())
        )
        _say(
            f'{one.crashes:>7}{one.first_refusal_s:>17.2f}'
            f'{one.quarantined:>13}{one.marked:>8}  {beside}',
        )


async def _round(sendings: int) -> Round:
    async with Deployment() as deployment:
        await deployment.start(_PLACES, read_example('adeyemi'))
        contacts = [str(pair.node) for pair in deployment.pairs]
        crashes: Counter[str] = Counter()
        steady: Counter[str] = Counter()
        async with Client(contacts, 'bench') as client:
            background = [
                asyncio.create_task(_restart(deployment, pair, crashes))
                for pair in deployment.pairs
            ]
            background.append(asyncio.create_task(_steady(client, steady)))
            first_refusal_s = await _send(client, sendings)
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        marks = await deployment.ask(deployment.pairs[0].node, 'GET', _MARKS)
        quarantined = sum(1 for mark in marks if _crashes_of(mark) > 1)
        return Round(
            crashes.total(),
            first_refusal_s,
            quarantined,
            len(marks) - quarantined,
            steady,
        )


async def _send(client: Client, sendings: int) -> float:
    """Send the request repeatedly.

    Returns the seconds after which every call was refused as not run.
    """
    started_s = time.monotonic()
    last_unknown_s = float(0)
    for _ in range(sendings):
        called = await client.call(_CRASHING)
        if not isinstance(called.err(), NotRun):
            last_unknown_s = time.monotonic() - started_s
        await asyncio.sleep(0.1)
    return last_unknown_s


async def _steady(client: Client, tally: Counter[str]) -> None:
    """Start an independent call every few milliseconds, until cancelled."""
    calls: set[asyncio.Task[None]] = set()
    for number in itertools.count():
        task = asyncio.create_task(_call(client, number, tally))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(_STEADY_GAP_S)


async def _call(client: Client, number: int, tally: Counter[str]) -> None:
    call = Call('bookings', 'POST', f'/{number}', b'x', rank='booking')
    called = await client.call(call)
    failure = called.err()
    tally['answered' if failure is None else failure.code.value] += 1


async def _restart(
    deployment: Deployment,
    pair: Pair,
    crashes: Counter[str],
) -> None:
    """Restart a backend server each time it dies, and count its crashes."""
    while True:
        await deployment.processes[f'backend {pair.name}'].wait()
        crashes[pair.name] += 1
        await asyncio.sleep(_RESTART_AFTER_S)
        await deployment.start_backend(pair)


def _crashes_of(mark: Any) -> int:
    return len(set(mark['crash_ids']) - set(mark['cleared_ids']))


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
