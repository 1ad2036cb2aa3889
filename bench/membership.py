"""Cost of membership, and the time until updates reach all nodes."""

import asyncio
import random
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

import msgspec

from bench.fleet import COST_COLUMNS, Fleet
from carobmoor.membership import (
    Gossip,
    Member,
    MembershipState,
    MemberStatus,
    answer_digests,
    decode_members,
    merge,
)
from carobmoor.membership._messages import DatagramKind, decode_datagram
from carobmoor.membership._signing import unseal
from carobmoor.transport import ConnectionPool

_NODES_PER_PROCESS = 10
_WINDOW_S = 20
_TIMEOUT_S = 60
_KILLED_FRACTION = 0.08
_TICKS = 2000
_TICKS_PER_S = 4


def measure_membership(
    sizes: Sequence[int] = (50, 100, 200),
    state_sizes: Sequence[int] = (200, 1000, 9300),
    cut_s: float = 15,
) -> None:
    """Print the cost of membership and how long its updates take.

    Args:
        sizes: Numbers of nodes, as real processes and sockets.
        state_sizes: Numbers of members for which one node's state is measured.
        cut_s: Seconds for which a region is cut off.
    """
    _write_line('state of one node: members, MB, join s, join MB, us/s')
    for size in state_sizes:
        _measure_state(size)
    asyncio.run(_measure_fleets(sizes, cut_s))


async def _measure_fleets(sizes: Sequence[int], cut_s: float) -> None:
    _write_line(f'nodes  {COST_COLUMNS}')
    for size in sizes:
        async with Fleet(size, _NODES_PER_PROCESS) as fleet:
            await fleet.start_nodes()
            await asyncio.sleep(_WINDOW_S / 2)
            _write_line(f'{size:>5}{await fleet.measure_cost(_WINDOW_S)}')
            if size == max(sizes):
                await _measure_updates(fleet, cut_s)


async def _measure_updates(fleet: Fleet, cut_s: float) -> None:
    _write_line('news             99% s   all s  false deaths')
    remaining = list(range(len(fleet.addresses)))
    stopped: list[str] = []
    stops = (
        ('one death', 'kill', 1),
        ('one leave', 'leave', 1),
        ('8% die at once', 'kill', round(_KILLED_FRACTION * len(remaining))),
    )
    for label, command, count in stops:
        chosen = random.Random(count).sample(remaining[3:], count)
        remaining = [number for number in remaining if number not in chosen]
        addresses = [str(fleet.addresses[each]) for each in chosen]
        stopped.extend(addresses)
        await _stop_nodes(fleet, label, command, addresses, stopped)
    await _cut_off_region(fleet, remaining, stopped, cut_s)


async def _stop_nodes(
    fleet: Fleet,
    label: str,
    command: str,
    addresses: Sequence[str],
    stopped: Sequence[str],
) -> None:
    """Stop some nodes and wait until no other has them as candidates."""
    stopping = asyncio.create_task(
        fleet.send_command(do=command, targets=addresses)
    )
    if command == 'kill':
        await stopping
    reachable = len(fleet.addresses) - len(stopped)
    times = await fleet.wait_until_converged(1, stopped, reachable, _TIMEOUT_S)
    await stopping
    _print_times(label, times)


async def _cut_off_region(
    fleet: Fleet,
    remaining: Sequence[int],
    stopped: Sequence[str],
    cut_s: float,
) -> None:
    """Cut one region off for some seconds and wait until it is back."""
    region = fleet.zone_of(remaining[0])[0]
    sides: tuple[list[str], list[str]] = ([], [])
    for number in remaining:
        is_in_region = fleet.zone_of(number)[0] == region
        sides[is_in_region].append(str(fleet.addresses[number]))
    await fleet.send_command(do='cut', sides=sides)
    await asyncio.sleep(cut_s)
    views = await fleet.views(stopped)
    false_deaths = sum(view[2] for view in views)
    affected = sum(view[3] < len(remaining) for view in views)
    _write_line(
        f'cut of {cut_s:g} s: {affected} of {len(views)} nodes miss members, '
        f'{false_deaths} false deaths',
    )
    await fleet.send_command(do='cut', sides=())
    times = await fleet.wait_until_converged(
        1, stopped, len(remaining), _TIMEOUT_S
    )
    _print_times('return from cut', times)


def _print_times(label: str, times: tuple[float, float, int]) -> None:
    p99_s, max_s, false_deaths = times
    _write_line(f'{label:<16}{p99_s:>6.1f}{max_s:>8.1f}{false_deaths:>14}')


def _measure_state(size: int) -> None:
    members = [_make_member(number) for number in range(size)]
    body = msgspec.json.encode(members)
    tracemalloc.start()
    started_s = time.perf_counter()
    state = MembershipState(_make_member(size), lambda service: None)
    merge(state, decode_members(body), 0)
    join_s = time.perf_counter() - started_s
    while state.updates:
        state.updates.pick(state.members, 1)
    held_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    empty_digests = msgspec.json.encode([0 for _ in state.digests])
    answer = answer_digests(state, empty_digests)
    work_us = _work_us_per_s(state)
    _write_line(
        f'{size:>7}{held_mb:>7.1f}{join_s:>8.2f}'
        f'{len(answer) / 2**20:>8.2f}{work_us:>8.0f}',
    )


def _work_us_per_s(state: MembershipState) -> float:
    """Return the microseconds of a second's gossip, without the socket."""
    gossip = Gossip(state, ConnectionPool(), random.Random(0), b'k' * 16)
    transport = _RecordingTransport()
    gossip.socket.connection_made(transport)
    now_s = time.monotonic()
    started_s = time.process_time()
    for tick in range(_TICKS):
        gossip.tick(now_s + tick / _TICKS_PER_S)
        datagrams = tuple(transport.sent)
        transport.sent.clear()
        for datagram in datagrams:
            message = decode_datagram(unseal(b'k' * 16, datagram) or b'')
            gossip.handle_datagram(
                message._replace(kind=DatagramKind.ACK, sender=transport.peer)
            )
        transport.sent.clear()
    cpu_s = time.process_time() - started_s
    return cpu_s / _TICKS * _TICKS_PER_S * 1_000_000


class _RecordingTransport(asyncio.DatagramTransport):
    """Records the datagrams that are sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.peer = _make_member(0).address

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.sent.append(data)


def _make_member(number: int) -> Member:
    return Member(
        f'10.{number // 65536}.{number // 256 % 256}.{number % 256}:7101',
        f'service-{number // 5}',
        'lagos',
        'lagos-a',
        1_790_000_000_000 + number,
        MemberStatus.ALIVE,
    )


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
