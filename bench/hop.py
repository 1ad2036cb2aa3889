"""Latency that one hop adds to a call, compared with the direct call.

Both ways are measured in interleaved rounds of one run; the figures are medians
over the rounds.
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

from carobmoor import Call, Client
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)
from stand_ins.deployment import Deployment, Place, read_example

_BODY: Final = b'x' * 140
_MAX_LATENCY_US: Final = 10_000_000
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000
_CPU_TICKS_PER_S: Final = 100
_TIMEOUT_S: Final = 5
_BYTES_PER_MB: Final = 1_048_576
_RATES: Final = (50, 200, 600)

CallFunction = Callable[[], Awaitable[None]]


class Round(NamedTuple):
    """Latencies of one round of one way, and the processor time of the node."""

    p50_ms: float
    p99_ms: float
    node_cpu_us_per_call: float


def measure_hop(
    rounds: int = 5,
    round_s: float = 4,
    rates: Sequence[int] = _RATES,
) -> None:
    """Print the latency added by one hop at several rates.

    Args:
        rounds: Interleaved rounds of each way.
        round_s: Length of a round in seconds.
        rates: Calls per second.
    """
    asyncio.run(_measure(rounds, round_s, rates))


async def _measure(
    rounds: int,
    round_s: float,
    rates: Sequence[int],
) -> None:
    place = Place('bookings', 'lagos', 'lagos-a', service_ms=0)
    async with Deployment() as deployment:
        await deployment.start((place,), read_example('adeyemi'))
        pair = deployment.pairs[0]
        pid = deployment.processes[f'node {pair.name}'].pid
        pool = ConnectionPool()
        async with Client((str(pair.node),), 'bench') as client:
            call_functions = (
                _make_direct_call(pool, pair.backend_server),
                _make_hop_call(client),
            )
            _write_line('calls/s  way      p50 ms  p99 ms  node cpu us/call')
            before_mb = _resident_mb(pid)
            for rate in rates:
                await _measure_rate(call_functions, rate, rounds, round_s, pid)
        pool.close()
        calls = int(round_s * sum(rates)) * rounds
        grown_bytes = (_resident_mb(pid) - before_mb) * _BYTES_PER_MB
        _write_line(f'node resident memory: {_resident_mb(pid):.1f} MB')
        _write_line(
            f'growth: {grown_bytes / calls:.0f} bytes per call ({calls} calls)'
        )


async def _measure_rate(
    call_functions: tuple[CallFunction, CallFunction],
    rate: int,
    rounds: int,
    round_s: float,
    pid: int,
) -> None:
    results: tuple[list[Round], list[Round]] = ([], [])
    for _ in range(rounds):
        for call_function, way_rounds in zip(
            call_functions, results, strict=True
        ):
            way_rounds.append(
                await _run_round(call_function, rate, round_s, pid)
            )
    _write_line(_format_line(rate, 'direct', _median(results[0])))
    _write_line(_format_line(rate, 'one hop', _median(results[1])))
    added_p50 = statistics.median(
        hop.p50_ms - direct.p50_ms for direct, hop in zip(*results, strict=True)
    )
    added_p99 = statistics.median(
        hop.p99_ms - direct.p99_ms for direct, hop in zip(*results, strict=True)
    )
    _write_line(f'{rate:>7}  added  {added_p50:>8.2f}{added_p99:>8.2f}')


async def _run_round(
    call_function: CallFunction, rate: int, round_s: float, pid: int
) -> Round:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    loop = asyncio.get_running_loop()
    calls = int(rate * round_s)
    cpu_before_s = _cpu_s(pid)
    round_started_s = loop.time()

    async def call_at(due_s: float) -> None:
        await asyncio.sleep(due_s - loop.time())
        started_s = time.perf_counter()
        await call_function()
        elapsed_s = time.perf_counter() - started_s
        histogram.record_value(int(elapsed_s * _US_PER_S))

    await asyncio.gather(
        *(call_at(round_started_s + number / rate) for number in range(calls)),
    )
    return Round(
        histogram.get_value_at_percentile(50) / _US_PER_MS,
        histogram.get_value_at_percentile(99) / _US_PER_MS,
        (_cpu_s(pid) - cpu_before_s) / calls * _US_PER_S,
    )


def _make_direct_call(pool: ConnectionPool, address: Address) -> CallFunction:
    request = OutgoingRequest('POST', '/bench', (), _BODY)

    async def call() -> None:
        result = await request_json(pool, address, request, _TIMEOUT_S)
        result.unwrap()

    return call


def _make_hop_call(client: Client) -> CallFunction:
    request = Call('bookings', 'POST', '/bench', _BODY, rank='booking')

    async def call() -> None:
        result = await client.call(request)
        result.unwrap()

    return call


def _median(rounds: Sequence[Round]) -> Round:
    return Round(
        statistics.median(each.p50_ms for each in rounds),
        statistics.median(each.p99_ms for each in rounds),
        statistics.median(each.node_cpu_us_per_call for each in rounds),
    )


def _format_line(rate: int, way: str, figures: Round) -> str:
    latencies = f'{figures.p50_ms:>8.2f}{figures.p99_ms:>8.2f}'
    return (
        f'{rate:>7}  {way:<7}{latencies}{figures.node_cpu_us_per_call:>18.0f}'
    )


def _cpu_s(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CPU_TICKS_PER_S


def _resident_mb(pid: int) -> float:
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
