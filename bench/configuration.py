"""Cost of the configuration, and the time until a change is in force."""

import asyncio
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

import msgspec

from bench.fleet import COST_COLUMNS, Fleet
from carobmoor.configuration import (
    ConfigurationState,
    Head,
    Snapshot,
    handle_since_request,
)
from carobmoor.configuration._pieces import split

_NODES_PER_PROCESS = 10
_WINDOW_S = 12
_TIMEOUT_S = 30
_CHANGES = 5
_HEAD = Head(1, 'd' * 32, 's' * 32, 'operator', 'reason')


def measure_configuration(
    sizes: Sequence[int] = (50, 100, 200),
    service_counts: Sequence[int] = (40, 400, 1800),
) -> None:
    """Print the cost of the configuration and how long a change takes.

    Args:
        sizes: Numbers of nodes, as real processes and sockets.
        service_counts: Numbers of services for which the state is measured.
    """
    _write_line(
        'state of one node: services, MB, document KB, snapshot KB, split ms'
    )
    for count in service_counts:
        _measure_state(count)
    asyncio.run(_measure_fleets(sizes))


async def _measure_fleets(sizes: Sequence[int]) -> None:
    _write_line(f'nodes  {COST_COLUMNS}')
    for size in sizes:
        async with Fleet(size, _NODES_PER_PROCESS) as fleet:
            await fleet.start_nodes()
            await asyncio.sleep(_WINDOW_S / 2)
            _write_line(
                f'{size:>5}{await fleet.measure_cost(_WINDOW_S)}  no changes'
            )
            times: list[tuple[float, float, int]] = []
            changes = _publish_changes(fleet, times)
            cost = await fleet.measure_cost(_WINDOW_S, changes)
            _write_line(f'{size:>5}{cost}  {_CHANGES} changes')
            _print_times(times)
            await _change_before_outage(fleet)


async def _publish_changes(
    fleet: Fleet,
    times: list[tuple[float, float, int]],
) -> None:
    for number in range(_CHANGES):
        document = _changed_document(fleet, number)
        await fleet.put_document(document, number + 1, node_number=number)
        reachable = len(fleet.addresses)
        times.append(
            await fleet.wait_until_converged(
                number + 2, (), reachable, _TIMEOUT_S
            ),
        )


async def _change_before_outage(fleet: Fleet) -> None:
    """Set the store as down right after it accepted a change."""
    version = _CHANGES + 2
    await fleet.put_document(_changed_document(fleet, version), version - 1)
    await fleet.set_faults(fleet.platform, is_down=True)
    reachable = len(fleet.addresses)
    times = await fleet.wait_until_converged(version, (), reachable, _TIMEOUT_S)
    _write_line(
        f'      store down after acceptance: 99% {times[0]:.1f} s, '
        f'all {times[1]:.1f} s'
    )


def _changed_document(fleet: Fleet, number: int) -> Any:
    document: Any = fleet.make_document()
    document['services']['service-0']['slots'] = 20 + number
    return document


def _print_times(times: Sequence[tuple[float, float, int]]) -> None:
    p99_times = ' '.join(f'{each[0]:.1f}' for each in times)
    max_times = ' '.join(f'{each[1]:.1f}' for each in times)
    _write_line(
        f'      in force on 99% after s: {p99_times}; on all: {max_times}'
    )


def _measure_state(count: int) -> None:
    document = _make_document(count)
    started_s = time.perf_counter()
    pieces = split(document)
    split_ms = (time.perf_counter() - started_s) * 1000
    body = msgspec.json.encode(document)
    manifest_body = msgspec.json.encode(pieces.manifest)
    tracemalloc.start()
    state = ConfigurationState(lambda accepted: None, 'service-0')
    manifest = msgspec.json.decode(manifest_body, type=type(pieces.manifest))
    state.put_in_force(Snapshot(_HEAD, manifest), (), pieces.texts)
    held_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    snapshot = handle_since_request(state, b'0')
    _write_line(
        f'{count:>7}{held_mb:>7.2f}{len(body) / 1024:>8.0f}'
        f'{len(snapshot) / 1024:>8.0f}{split_ms:>8.1f}',
    )


def _make_document(count: int) -> Any:
    rank = {
        'name': 'booking',
        'target_latency_ms': 100,
        'worth': 1.0,
        'guaranteed_share': 0.5,
    }
    services = {
        f'service-{number}': {
            'team': f'team-{number % 90}',
            'slots': 9,
            'queue_limit': 200,
            'default_deadline_ms': 2000,
            'most_body_bytes': 1_000_000 + number,
        }
        for number in range(count)
    }
    return {'ranks': [rank], 'services': services}


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
