"""What the configuration costs, and how soon a change is in force."""

import asyncio
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

import msgspec

from bench.fleet import COST_HEAD, Fleet
from carobmoor.configuration import (
    ConfigurationState,
    Head,
    Snapshot,
    handle_since_request,
)
from carobmoor.configuration._pieces import split

_PER_PROCESS = 10
_WINDOW_S = 12
_MOST_S = 30
_CHANGES = 5
_HEAD = Head(1, 'd' * 32, 's' * 32, 'operator', 'reason')


def measure_configuration(
    sizes: Sequence[int] = (50, 100, 200),
    service_counts: Sequence[int] = (40, 400, 1800),
) -> None:
    """Print the cost of the configuration and the time of a change.

    Args:
        sizes: Numbers of nodes, as real processes and sockets.
        service_counts: Numbers of services of which the state is measured.
    """
    _say('state of one node: services, MB, document KB, snapshot KB, split ms')
    for count in service_counts:
        _measure_state(count)
    asyncio.run(_measure(sizes))


async def _measure(sizes: Sequence[int]) -> None:
    _say(f'nodes  {COST_HEAD}')
    for size in sizes:
        async with Fleet(size, _PER_PROCESS) as fleet:
            await fleet.start_nodes()
            await asyncio.sleep(_WINDOW_S / 2)
            _say(f'{size:>5}{await fleet.cost(_WINDOW_S)}  no changes')
            took: list[tuple[float, float, int]] = []
            changing = _change(fleet, took)
            cost = await fleet.cost(_WINDOW_S, changing)
            _say(f'{size:>5}{cost}  {_CHANGES} changes')
            _print_times(took)
            await _change_before_outage(fleet)


async def _change(
    fleet: Fleet,
    took: list[tuple[float, float, int]],
) -> None:
    for number in range(_CHANGES):
        document = _changed(fleet, number)
        await fleet.put(document, number + 1, through=number)
        reachable = len(fleet.addresses)
        took.append(
            await fleet.converge(number + 2, (), reachable, _MOST_S),
        )


async def _change_before_outage(fleet: Fleet) -> None:
    """Take the store down right after a change was accepted."""
    version = _CHANGES + 2
    await fleet.put(_changed(fleet, version), version - 1)
    await fleet.set_faults(fleet.platform, is_down=True)
    reachable = len(fleet.addresses)
    told = await fleet.converge(version, (), reachable, _MOST_S)
    _say(
        f'      store down after acceptance: 99% {told[0]:.1f} s, '
        f'all {told[1]:.1f} s'
    )


def _changed(fleet: Fleet, number: int) -> Any:
    document: Any = fleet.document()
    document['services']['service-0']['slots'] = 20 + number
    return document


def _print_times(took: Sequence[tuple[float, float, int]]) -> None:
    most = ' '.join(f'{each[0]:.1f}' for each in took)
    last = ' '.join(f'{each[1]:.1f}' for each in took)
    _say(f'      in force at 99% after s: {most}; at all: {last}')


def _measure_state(count: int) -> None:
    document = _document(count)
    begun_s = time.perf_counter()
    pieces = split(document)
    split_ms = (time.perf_counter() - begun_s) * 1000
    body = msgspec.json.encode(document)
    encoded = msgspec.json.encode(pieces.manifest)
    tracemalloc.start()
    state = ConfigurationState(lambda accepted: None, 'service-0')
    manifest = msgspec.json.decode(encoded, type=type(pieces.manifest))
    state.put_in_force(Snapshot(_HEAD, manifest), (), pieces.texts)
    held_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    snapshot = handle_since_request(state, b'0')
    _say(
        f'{count:>7}{held_mb:>7.2f}{len(body) / 1024:>8.0f}'
        f'{len(snapshot) / 1024:>8.0f}{split_ms:>8.1f}',
    )


def _document(count: int) -> Any:
    rank = {
        'name': 'booking',
        'target_latency_ms': 100,
        'worth': 1.0,
        'guaranteed_share': 0.5,
    }
    declared = {
        f'service-{number}': {
            'team': f'team-{number % 90}',
            'slots': 9,
            'queue_limit': 200,
            'default_deadline_ms': 2000,
            'most_body_bytes': 1_000_000 + number,
        }
        for number in range(count)
    }
    return {'ranks': [rank], 'services': declared}


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
