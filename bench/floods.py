"""Floods by rank against one node and its backend server, as real processes.

The backend server has few slots, so that one process of callers can send five
times its capacity.
"""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple

from carobmoor import Call, Client
from carobmoor.admission import AdmissionPolicy, RankPolicy
from carobmoor.configuration import admission_policy_of
from stand_ins.deployment import Deployment, Place, read_example

_SERVICE_MS: Final = 25
_MS_PER_S: Final = 1000
_FLOOD_DEMAND: Final = 5
_SLOTS: Final = 4
_MAX_DEADLINE_MS: Final = 4000
_PER_CENT: Final = 100
_CALLERS: Final = 8
_DEPLOYMENTS: Final = (
    ('adeyemi', 'bookings', 'lagos', (0.1, 0.25, 0.15, 0.1)),
    ('bawaba', 'directory', 'casablanca', (0.25, 0.2, 0.15)),
)


class Load(NamedTuple):
    """Evenly spaced calls of one rank."""

    rank: RankPolicy
    rate_per_s: float


class CallCounts:
    """Number of calls of each rank, by result."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent: Counter[str] = Counter()
        self.in_target: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()


def measure_floods(seconds: float = 8) -> None:
    """Print what each rank gets in a flood, on real processes.

    Args:
        seconds: Length of each flood.
    """
    asyncio.run(_measure(seconds))


async def _measure(seconds: float) -> None:
    for deployment, service, region, demands in _DEPLOYMENTS:
        document = read_example(deployment)
        document['services'][service]['slots'] = _SLOTS
        policy = admission_policy_of(document, service)
        place = Place(service, region, f'{region}-a', policy.slots)
        column_heads = ''.join(f'{rank.name:>16}' for rank in policy.ranks)
        _write_line(f'{deployment}: {policy.slots} slots, figures in percent')
        _write_line(f'{"load":<24}{column_heads}  useful')
        async with Deployment() as processes:
            await processes.start((place,), document)
            pair = processes.pairs[0]
            for flooding in (None, -1, 0):
                async with Client((str(pair.node),), 'bench') as client:
                    loads = _make_loads(policy, demands, flooding)
                    started_s = time.monotonic()
                    counts = await _run_loads(client, service, loads, seconds)
                    elapsed_s = time.monotonic() - started_s
                name = 'no flood'
                if flooding is not None:
                    name = f'{policy.ranks[flooding].name} floods'
                _write_line(_format_line(name, policy, counts, elapsed_s))


def _make_loads(
    policy: AdmissionPolicy,
    demands: Sequence[float],
    flooding: int | None,
) -> Sequence[Load]:
    capacity_per_s = policy.slots * _MS_PER_S / _SERVICE_MS
    demands_by_rank = list(demands)
    if flooding is not None:
        demands_by_rank[flooding] += _FLOOD_DEMAND
    return [
        Load(rank, demand * capacity_per_s)
        for rank, demand in zip(policy.ranks, demands_by_rank, strict=True)
    ]


async def _run_loads(
    client: Client,
    service: str,
    loads: Sequence[Load],
    seconds: float,
) -> CallCounts:
    counts = CallCounts()
    await asyncio.gather(
        *(_run_load(client, service, load, seconds, counts) for load in loads),
    )
    return counts


async def _run_load(
    client: Client,
    service: str,
    load: Load,
    seconds: float,
    counts: CallCounts,
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    calls: set[asyncio.Task[None]] = set()
    for number in range(int(load.rate_per_s * seconds)):
        due_s = started_s + number / load.rate_per_s
        await asyncio.sleep(due_s - loop.time())
        caller = f'{load.rank.name}-{number % _CALLERS}'
        task = loop.create_task(
            _call(client, service, load.rank, caller, counts),
        )
        calls.add(task)
        task.add_done_callback(calls.discard)
    await asyncio.gather(*calls)


async def _call(
    client: Client,
    service: str,
    rank: RankPolicy,
    caller: str,
    counts: CallCounts,
) -> None:
    target_ms = rank.target_latency_ms
    call = Call(
        service,
        'POST',
        '/bench',
        b'x',
        headers=((b'x-service-ms', b'%d' % _SERVICE_MS),),
        rank=rank.name,
        timeout_ms=min(_MAX_DEADLINE_MS, 2 * target_ms),
        caller=caller,
    )
    started_s = time.monotonic()
    counts.sent[rank.name] += 1
    result = await client.call(call)
    elapsed_ms = (time.monotonic() - started_s) * _MS_PER_S
    if result.is_ok():
        counts.answered[rank.name] += 1
        counts.in_target[rank.name] += int(elapsed_ms <= target_ms)


def _format_line(
    name: str,
    policy: AdmissionPolicy,
    counts: CallCounts,
    elapsed_s: float,
) -> str:
    capacity = policy.slots * _MS_PER_S / _SERVICE_MS * elapsed_s
    cells = []
    for rank in policy.ranks:
        sent = counts.sent[rank.name]
        expected = min(sent, rank.guaranteed_share * capacity)
        in_target = _PER_CENT * counts.in_target[rank.name] / sent
        kept = _PER_CENT * counts.answered[rank.name] / expected
        cells.append(f'{in_target:>8.1f}/{kept:>7.0f}')
    useful = _PER_CENT * counts.answered.total() / capacity
    return f'{name:<24}{"".join(cells)}{useful:>8.1f}'


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
