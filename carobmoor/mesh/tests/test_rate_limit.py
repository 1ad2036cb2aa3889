"""A backend server gets no more than the rate limit that it names."""

import asyncio
import time

from carobmoor.mesh.tests.fixtures import SERVICE, Mesh, NodeWithServer
from carobmoor.mesh.tests.scripted import NAMES
from carobmoor.mesh.tests.test_membership import run
from carobmoor.transport import IncomingRequest, JsonAnswer, get_header

RATE_PER_S = 10
WINDOW_S = 1.0
ROUNDS = 40
# Simultaneous requests of one round, from two nodes.
ROUND = 4
PAUSE_S = 0.05
DEADLINE_MS = 3000
# What waits already takes longer than this.
MIN_WAIT_S = 1
OK = 200
NOT_RUN = 503


def most_in_window(requests: list[IncomingRequest]) -> int:
    """Return the most requests that arrived within `WINDOW_S`."""
    times_s = [request.arrived_at_s for request in requests]
    return max(
        sum(first_s <= one_s < first_s + WINDOW_S for one_s in times_s)
        for first_s in times_s
    )


def count_resends(pair: NodeWithServer) -> float:
    """Return how many hedges and retries a node has sent."""
    registry = pair.node.metrics.registry
    labels = {'service': SERVICE}
    return (
        registry.get_sample_value('carobmoor_repeated_sends_total', labels) or 0
    )


async def ask_in_rounds(mesh: Mesh, nodes: int) -> list[int]:
    """Send requests to the first nodes; return the statuses."""
    asked = []
    for number in range(ROUNDS):
        for place in range(ROUND):
            pair = mesh.nodes[place % nodes]
            name = f'request-{number}-{place}'
            asked.append(asyncio.ensure_future(mesh.ask(pair, request_id=name)))
        await asyncio.sleep(PAUSE_S)
    return [answer.head.status for answer in await asyncio.gather(*asked)]


async def _name_limits(mesh: Mesh, *rates: str) -> None:
    for pair, rate in zip(mesh.nodes, rates, strict=True):
        pair.backend.load = '0,0,4,100'
        pair.backend.rate_limit = rate
    # One answer each, which names the limit.
    for number, pair in enumerate(mesh.nodes):
        await mesh.ask(pair, request_id=f'first-{number}')
    await mesh.wait_until(
        lambda: (
            [bool(pair.node.rate_limit.per_s) for pair in mesh.nodes]
            == [bool(rate) for rate in rates]
        )
    )
    for pair in mesh.nodes:
        pair.backend.received_requests.clear()


# Guards against a server that gets more requests than the rate limit that it
# names, though another server could take them.
def test_named_limit_moves_requests():
    """What exceeds the limit of one server is served by another."""

    async def check(mesh: Mesh) -> None:
        await _name_limits(mesh, str(RATE_PER_S), '')
        statuses = await ask_in_rounds(mesh, nodes=2)
        limited, free = (pair.backend.received_requests for pair in mesh.nodes)
        assert set(statuses) == {OK}
        assert most_in_window(limited) <= 1.5 * RATE_PER_S * WINDOW_S + 5
        received = limited + free
        names = {get_header(one.headers, NAMES.request_id) for one in received}
        assert len(names) == ROUNDS * ROUND
        # What waits at the limited server may be hedged at the other one.
        assert len(received) - len(names) <= sum(map(count_resends, mesh.nodes))

    run(check, 2)


# Guards against requests that wait at a limited server until their deadline
# passes, or whose callers are not told when they may return.
def test_excess_is_refused_at_once():
    """Callers hear "not run" before their deadline, and when to return."""

    async def check(mesh: Mesh) -> None:
        await _name_limits(mesh, '2', '2')
        asked = [
            _ask_timed(mesh, mesh.nodes[place % 2], f'request-{place}')
            for place in range(ROUNDS)
        ]
        answered = await asyncio.gather(*asked)
        refused = [
            (one, took_s) for one, took_s in answered if one.head.status != OK
        ]
        assert {one.head.status for one, _ in refused} == {NOT_RUN}
        for one, took_s in refused:
            assert took_s < DEADLINE_MS / 1000
            retry_after = get_header(one.head.headers, b'retry-after')
            assert float(retry_after) >= MIN_WAIT_S
        for pair in mesh.nodes:
            received = pair.backend.received_requests
            assert most_in_window(received) <= 1.5 * 2 * WINDOW_S + 5

    run(check, 2)


async def _ask_timed(
    mesh: Mesh, pair: NodeWithServer, name: str
) -> tuple[JsonAnswer, float]:
    started_s = time.monotonic()
    answer = await mesh.ask(pair, deadline_ms=DEADLINE_MS, request_id=name)
    return answer, time.monotonic() - started_s


# Guards against a node that restarts beside a server in need and sends it all
# that waits, since it has not seen the limit.
def test_restarted_owner_learns_limit_first():
    """Until the first answer, a few requests are sent at most."""

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        pair.backend.rate_limit = '2'
        asked = [
            mesh.ask(pair, deadline_ms=DEADLINE_MS, request_id=f'{place}')
            for place in range(ROUNDS)
        ]
        await asyncio.gather(*asked)
        received = pair.backend.received_requests
        assert most_in_window(received) <= 1.5 * 2 * WINDOW_S + 5

    run(check, 1)


# Guards against a limit that is still followed after the server has ended it.
def test_limit_ends_with_answer_without_it():
    """The first answer to a later request that names no limit ends it."""

    async def check(mesh: Mesh) -> None:
        await _name_limits(mesh, '1')
        pair = mesh.nodes[0]
        pair.backend.rate_limit = ''
        await mesh.wait_until(lambda: not pair.node.rate_limit.per_s)
        statuses = await ask_in_rounds(mesh, nodes=1)
        assert set(statuses) == {OK}

    run(check, 1)
