"""A request that crashes backend servers is quarantined.

Guards against resends through other nodes that let one such request crash
every backend server of its service.
"""

import asyncio

from carobmoor import Call, Client, Code, NotRun
from carobmoor.transport import OutgoingRequest, request_json
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, client_of, running

PLACES = tuple(
    Place('bookings', 'lagos', zone, service_ms=20)
    for zone in ('lagos-a', 'lagos-b', 'lagos-a', 'lagos-b')
)
CRASHING = Call(
    'bookings',
    'POST',
    '/crash',
    b'bad',
    headers=((b'x-crash', b'1'),),
    rank='booking',
)
TRIES = 12
PATIENCE_S = 5


@asynchronous
async def test_two_backend_servers_go_down_at_most():
    """Two backend servers crash; then every node refuses the request."""
    async with (
        running(*PLACES) as deployment,
        client_of(deployment) as client,
    ):
        steady = asyncio.create_task(send_steadily(client))
        failures = await send_again_and_again(client)
        steady.cancel()
        await asyncio.gather(steady, return_exceptions=True)
        dead = [
            pair.name
            for pair in deployment.pairs
            if deployment.processes[f'backend {pair.name}'].returncode
            is not None
        ]
        listed = [
            await deployment.ask(pair.node, 'GET', '/_carobmoor/quarantine')
            for pair in deployment.pairs
        ]
        quarantined = [
            mark for told in listed for mark in told if crashes_of(mark) >= 2
        ]
        expected = ['/crash' for _ in deployment.pairs]
        assert len(dead) == 2, dead
        assert [mark['route'] for mark in quarantined] == expected
        last = failures[-1]
        assert isinstance(last, NotRun)
        assert last.code is Code.QUARANTINED
        await clear(deployment, quarantined[0]['fingerprint'])


async def send_again_and_again(client: Client) -> list:
    """Send the crashing request repeatedly and return the failures."""
    failures = []
    for _ in range(TRIES):
        called = await client.call(CRASHING)
        failures.append(called.unwrap_err())
    return failures


async def send_steadily(client: Client) -> None:
    """Keep sending other requests, each with its own target."""
    number = 0
    while True:
        number += 1
        call = Call('bookings', 'POST', f'/{number}', b'x', rank='booking')
        await asyncio.gather(client.call(call), asyncio.sleep(0.005))


async def clear(deployment, fingerprint: str) -> None:
    """Clear the mark at one node and check that every node drops it."""
    path = f'/_carobmoor/quarantine/{fingerprint}'
    await refused_without_token(deployment, 'GET', '/_carobmoor/quarantine')
    await refused_without_token(deployment, 'DELETE', path)
    await deployment.ask(deployment.pairs[3].node, 'DELETE', path)
    for pair in deployment.pairs:
        told = await deployment.ask(pair.node, 'GET', '/_carobmoor/quarantine')
        assert fingerprint not in {mark['fingerprint'] for mark in told}


async def refused_without_token(deployment, method: str, path: str) -> None:
    """Check that a request without an operator token gets 401."""
    asked = await request_json(
        deployment.pool,
        deployment.pairs[0].node,
        OutgoingRequest(method, path, ()),
        PATIENCE_S,
    )
    assert asked.unwrap().head.status == 401


def crashes_of(mark) -> int:
    """Return the number of crashes of a mark that are not cleared."""
    return len(set(mark['crash_ids']) - set(mark['cleared_ids']))
