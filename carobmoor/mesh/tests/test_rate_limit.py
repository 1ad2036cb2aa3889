"""A backend server gets no more than the rate limit that it names."""

import asyncio
import time

from carobmoor.mesh.tests.fixtures import Mesh
from carobmoor.mesh.tests.test_membership import run
from carobmoor.transport import IncomingRequest

RATE_PER_S = 10
WINDOW_S = 1.0
ROUNDS = 40
# Simultaneous requests of one round, from two nodes.
ROUND = 4
PAUSE_S = 0.05
OK = 200
NOT_RUN = 503


def most_in_window(requests: list[IncomingRequest]) -> int:
    """Return the most requests that arrived within `WINDOW_S`."""
    times_s = [request.arrived_at_s for request in requests]
    return max(
        sum(first_s <= one_s < first_s + WINDOW_S for one_s in times_s)
        for first_s in times_s
    )


async def ask_in_rounds(mesh: Mesh) -> list[int]:
    """Send requests to the first two nodes; return the statuses."""
    asked = []
    for number in range(ROUNDS):
        for place in range(ROUND):
            pair = mesh.nodes[place % 2]
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
def test_named_rate_limit_moves_requests_elsewhere():
    """What exceeds the limit of one server is served by another."""

    async def check(mesh: Mesh) -> None:
        await _name_limits(mesh, str(RATE_PER_S), '')
        statuses = await ask_in_rounds(mesh)
        limited, free = (pair.backend.received_requests for pair in mesh.nodes)
        assert set(statuses) == {OK}
        assert most_in_window(limited) <= 1.5 * RATE_PER_S * WINDOW_S + 5
        assert len(limited) + len(free) == ROUNDS * ROUND

    run(check, 2)


# Guards against requests that wait at a limited server until their deadline
# passes, or whose callers are not told when to return.
def test_what_exceeds_every_rate_limit_is_refused_at_once():
    """Callers hear "not run" before their deadline, and when to return."""

    async def check(mesh: Mesh) -> None:
        await _name_limits(mesh, '2', '2')
        started_s = time.monotonic()
        asked = [
            mesh.ask(
                mesh.nodes[place % 2], deadline_ms=3000, request_id=f'{place}'
            )
            for place in range(40)
        ]
        answers = await asyncio.gather(*asked)
        refused = [one for one in answers if one.head.status == NOT_RUN]
        assert len(refused) >= 20
        for pair in mesh.nodes:
            received = pair.backend.received_requests
            assert most_in_window(received) <= 1.5 * 2 * WINDOW_S + 5

    run(check, 2)
