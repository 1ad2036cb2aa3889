"""A node that was paused does not run requests whose deadline has passed.

While a node is stopped with SIGSTOP, requests collect in its socket buffers.
Guards against the node starting them after SIGCONT.
"""

import asyncio
import signal

from carobmoor import Call
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, connected_client, run_deployment

BOOKINGS = Place('bookings', 'lagos', 'lagos-a', service_ms=20)
DEPOSIT = Call('bookings', 'POST', '/x', b'deposit', timeout_ms=10_000)


@asynchronous
async def test_expired_requests_do_not_run_after_pause():
    """Requests buffered during a pause are refused once it ends."""
    async with (
        run_deployment(BOOKINGS) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        assert (await client.call(DEPOSIT)).is_ok()
        before = await starts_by_request(deployment, pair)
        node = deployment.processes[f'node {pair.name}']
        node.send_signal(signal.SIGSTOP)
        late = DEPOSIT._replace(timeout_ms=300)
        answers = await asyncio.gather(*(client.call(late) for _ in range(8)))
        await asyncio.sleep(1)
        node.send_signal(signal.SIGCONT)
        await deployment.wait_for_status(pair, 'in_flight', 0)
        fresh = await client.call(DEPOSIT._replace(timeout_ms=60_000))
        after = await starts_by_request(deployment, pair)
    assert all(answer.is_err() for answer in answers)
    assert fresh.is_ok(), fresh
    assert len(after) == len(before) + 1


async def starts_by_request(deployment, pair):
    """Return the number of starts of each request at a backend server."""
    counters = await deployment.request_control(
        pair.backend_server, 'GET', '/_backend/starts'
    )
    return counters['starts']
