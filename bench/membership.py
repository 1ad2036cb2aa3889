"""What knowing all nodes costs, and how soon news of them is everywhere."""

import asyncio
import random
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

import msgspec

from bench.fleet import COST_HEAD, Fleet
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

_PER_PROCESS = 10
_WINDOW_S = 20
_MOST_S = 60
_SHARE_LOST = 0.08
_TICKS = 2000
_TICKS_PER_S = 4


def measure_membership(
    sizes: Sequence[int] = (50, 100, 200),
    state_sizes: Sequence[int] = (200, 1000, 9300),
    cut_s: float = 15,
) -> None:
    """Print the cost of membership and the time that its news takes.

    Args:
        sizes: Numbers of nodes, as real processes and sockets.
        state_sizes: Numbers of members of which one node's state is measured.
        cut_s: How long a region is cut off.
    """
    _say('state of one node: members, MB, join s, join MB, us/s')
    for size in state_sizes:
        _measure_state(size)
    asyncio.run(_measure(sizes, cut_s))


async def _measure(sizes: Sequence[int], cut_s: float) -> None:
    _say(f'nodes  {COST_HEAD}')
    for size in sizes:
        async with Fleet(size, _PER_PROCESS) as fleet:
            await fleet.start_nodes()
            await asyncio.sleep(_WINDOW_S / 2)
            _say(f'{size:>5}{await fleet.cost(_WINDOW_S)}')
            if size == max(sizes):
                await _measure_news(fleet, cut_s)


async def _measure_news(fleet: Fleet, cut_s: float) -> None:
    _say('news             99% s   all s  false deaths')
    left = list(range(len(fleet.addresses)))
    gone: list[str] = []
    losses = (
        ('one death', 'kill', 1),
        ('one leave', 'leave', 1),
        ('8% die at once', 'kill', round(_SHARE_LOST * len(left))),
    )
    for what, command, count in losses:
        lost = random.Random(count).sample(left[3:], count)
        left = [number for number in left if number not in lost]
        addresses = [str(fleet.addresses[each]) for each in lost]
        gone.extend(addresses)
        await _lose(fleet, what, command, addresses, gone)
    await _cut(fleet, left, gone, cut_s)


async def _lose(
    fleet: Fleet,
    what: str,
    command: str,
    addresses: Sequence[str],
    gone: Sequence[str],
) -> None:
    """Lose some nodes and wait until no other takes them for candidates."""
    began = asyncio.create_task(fleet.tell(do=command, targets=addresses))
    if command == 'kill':
        await began
    reachable = len(fleet.addresses) - len(gone)
    told = await fleet.converge(1, gone, reachable, _MOST_S)
    await began
    _print_news(what, told)


async def _cut(
    fleet: Fleet,
    left: Sequence[int],
    gone: Sequence[str],
    cut_s: float,
) -> None:
    """Cut the first region off for a while and wait for its return."""
    region = fleet.zone_of(left[0])[0]
    sides: tuple[list[str], list[str]] = ([], [])
    for number in left:
        is_inside = fleet.zone_of(number)[0] == region
        sides[is_inside].append(str(fleet.addresses[number]))
    await fleet.tell(do='cut', sides=sides)
    await asyncio.sleep(cut_s)
    views = await fleet.views(gone)
    false_deaths = sum(view[2] for view in views)
    noticed = sum(view[3] < len(left) for view in views)
    _say(
        f'cut of {cut_s:g} s: {noticed} of {len(views)} nodes miss others, '
        f'{false_deaths} false deaths',
    )
    await fleet.tell(do='cut', sides=())
    told = await fleet.converge(1, gone, len(left), _MOST_S)
    _print_news('return from cut', told)


def _print_news(what: str, told: tuple[float, float, int]) -> None:
    most_s, all_s, deaths = told
    _say(f'{what:<16}{most_s:>6.1f}{all_s:>8.1f}{deaths:>14}')


def _measure_state(size: int) -> None:
    members = [_member(number) for number in range(size)]
    body = msgspec.json.encode(members)
    tracemalloc.start()
    begun_s = time.perf_counter()
    state = MembershipState(_member(size), lambda service: None)
    merge(state, decode_members(body), 0)
    join_s = time.perf_counter() - begun_s
    while state.updates:
        state.updates.pick(state.members, 1)
    held_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    empty = msgspec.json.encode([0 for _ in state.digests])
    answered = answer_digests(state, empty)
    work_us = _work_us_per_s(state)
    _say(
        f'{size:>7}{held_mb:>7.1f}{join_s:>8.2f}'
        f'{len(answered) / 2**20:>8.2f}{work_us:>8.0f}',
    )


def _work_us_per_s(state: MembershipState) -> float:
    """Measure a second's probes and answers, without the socket's work."""
    gossip = Gossip(state, ConnectionPool(), random.Random(0), b'k' * 16)
    wire = _Wire()
    gossip.socket.connection_made(wire)
    now_s = time.monotonic()
    begun_s = time.process_time()
    for step in range(_TICKS):
        gossip.tick(now_s + step / _TICKS_PER_S)
        sent = tuple(wire.sent)
        wire.sent.clear()
        for sealed in sent:
            asked = decode_datagram(unseal(b'k' * 16, sealed) or b'')
            gossip.handle_datagram(
                asked._replace(kind=DatagramKind.ACK, sender=wire.peer)
            )
        wire.sent.clear()
    took_s = time.process_time() - begun_s
    return took_s / _TICKS * _TICKS_PER_S * 1_000_000


class _Wire(asyncio.DatagramTransport):
    """Keeps what is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.peer = _member(0).address

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.sent.append(data)


def _member(number: int) -> Member:
    return Member(
        f'10.{number // 65536}.{number // 256 % 256}.{number % 256}:7101',
        f'service-{number // 5}',
        'lagos',
        'lagos-a',
        1_790_000_000_000 + number,
        MemberStatus.ALIVE,
    )


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
