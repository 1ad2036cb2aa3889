"""Trials of stragglers and fast failures on real processes.

The figures depend on the machine and on what else runs on it.
"""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from carobmoor import Call, Client
from stand_ins.deployment import Deployment, Place, read_example

_SERVERS = 6
_CALLS_PER_S = 150
_PHASE_S = 6
_SETTLE_S = 1
_MS_PER_S = 1000
_ERROR_STATUS = 500
_CALL = Call('bookings', 'GET', '/today', rank='browse', repeatable=True)
_DEPOSIT = _CALL._replace(method='POST', repeatable=False)


class Phase(NamedTuple):
    """Figures of one phase, in which one fault was set or none."""

    name: str
    p50_ms: float
    p99_ms: float
    # Percentage of the calls after the first second that the faulty server got.
    share: float
    failed: int


async def run_on_processes(write_line: Callable[[str], None]) -> None:
    """Run every fault in turn and write one line for each."""
    place = Place('bookings', 'lagos', 'lagos-a', service_ms=20)
    async with Deployment() as deployment:
        places = [place for _ in range(_SERVERS)]
        await deployment.start(places, read_example('adeyemi'))
        contacts = [str(pair.node) for pair in deployment.pairs]
        async with Client(contacts, 'bench') as client:
            for call, mode in ((_DEPOSIT, 'no hedges'), (_CALL, 'hedges')):
                await _run_phases(deployment, client, call, mode, write_line)
            _write_cost(client, write_line)


async def _run_phases(
    deployment: Deployment,
    client: Client,
    call: Call,
    mode: str,
    write_line: Callable[[str], None],
) -> None:
    faults: Sequence[tuple[str, Mapping[str, Any]]] = (
        ('well', {}),
        ('10x straggler', {'slowdown': 10}),
        ('well again', {'slowdown': 1}),
        ('fails fast', {'fails': True}),
        ('well again', {'fails': False}),
        ('well again, later', {}),
    )
    faulty = deployment.pairs[0]
    for name, fault in faults:
        await deployment.set_faults(faulty.backend_server, **fault)
        phase = await _run_phase(client, call, name, str(faulty.node))
        figures = f'{phase.p50_ms:>8.1f}{phase.p99_ms:>9.1f}{phase.share:>9.2f}'
        write_line(f'{phase.name:<19}{mode:<10}{figures}{phase.failed:>8}')


async def _run_phase(
    client: Client,
    call: Call,
    name: str,
    faulty: str,
) -> Phase:
    loop = asyncio.get_running_loop()
    phase_started_s = loop.time()
    latencies: list[float] = []
    owners: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()

    async def call_at(offset_s: float) -> None:
        await asyncio.sleep(phase_started_s + offset_s - loop.time())
        started_s = time.perf_counter()
        result = await client.call(call)
        latencies.append(time.perf_counter() - started_s)
        if result.is_err() or result.unwrap().status >= _ERROR_STATUS:
            outcomes['failed'] += 1
        if result.is_ok() and offset_s > _SETTLE_S:
            owners[result.unwrap().owner] += 1

    calls = _CALLS_PER_S * _PHASE_S
    await asyncio.gather(
        *(call_at(number / _CALLS_PER_S) for number in range(calls)),
    )
    latencies.sort()
    return Phase(
        name,
        latencies[len(latencies) // 2] * _MS_PER_S,
        latencies[int(len(latencies) * 0.99)] * _MS_PER_S,
        100 * owners[faulty] / owners.total(),
        outcomes['failed'],
    )


def _write_cost(client: Client, write_line: Callable[[str], None]) -> None:
    counts = client.dispatcher.routing.counts
    phases = 12
    run_s = phases * _PHASE_S
    write_line(
        json.dumps({name: round(total, 4) for name, total in counts.items()})
    )
    bytes_per_s = counts['probe_bytes'] / run_s
    core_percent = 100 * counts['probe_core_s'] / run_s
    report_bytes = counts['report_bytes'] / max(1, counts['reports'])
    write_line(
        f'probes: {bytes_per_s:.0f} bytes/s, {core_percent:.3f}% of a core'
    )
    write_line(f'reports: {report_bytes:.0f} bytes per answer')
