"""A request that crashes backend servers is quarantined.

Guards against resends through other nodes that let one such request crash
every backend server of its service.
"""

import asyncio

from carobmoor import Call, Client, Code, NotRun
from carobmoor.transport import OutgoingRequest, request_json
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, connected_client, run_deployment

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
MAX_SENDS = 12
TIMEOUT_S = 5


@asynchronous
async def test_request_crashes_two_backend_servers():
    """Two backend servers crash; then every node refuses the request."""
    async with (
        run_deployment(*PLACES) as deployment,
        connected_client(deployment) as client,
    ):
        other_requests = asyncio.create_task(send_other_requests(client))
        failures = await send_repeatedly(client)
        other_requests.cancel()
        await asyncio.gather(other_requests, return_exceptions=True)
        crashed = [
            pair.name
            for pair in deployment.pairs
            if deployment.processes[f'backend {pair.name}'].returncode
            is not None
        ]
        marks_by_node = [
            await deployment.request_control(
                pair.node, 'GET', '/_carobmoor/quarantine'
            )
            for pair in deployment.pairs
        ]
        quarantined = [
            mark
            for marks in marks_by_node
            for mark in marks
            if count_uncleared_crashes(mark) >= 2
        ]
        expected = ['/crash' for _ in deployment.pairs]
        assert len(crashed) == 2, crashed
        assert [mark['route'] for mark in quarantined] == expected
        last = failures[-1]
        assert isinstance(last, NotRun)
        assert last.code is Code.QUARANTINED
        await clear_mark(deployment, quarantined[0]['fingerprint'])


async def send_repeatedly(client: Client) -> list:
    """Send the crashing request repeatedly and return the failures."""
    failures = []
    for _ in range(MAX_SENDS):
        called = await client.call(CRASHING)
        failures.append(called.unwrap_err())
    return failures


async def send_other_requests(client: Client) -> None:
    """Keep sending other requests, each with its own target."""
    number = 0
    while True:
        number += 1
        call = Call('bookings', 'POST', f'/{number}', b'x', rank='booking')
        await asyncio.gather(client.call(call), asyncio.sleep(0.005))


async def clear_mark(deployment, fingerprint: str) -> None:
    """Clear the mark at one node and check that every node drops it."""
    path = f'/_carobmoor/quarantine/{fingerprint}'
    await check_refused_without_token(
        deployment, 'GET', '/_carobmoor/quarantine'
    )
    await check_refused_without_token(deployment, 'DELETE', path)
    await deployment.request_control(deployment.pairs[3].node, 'DELETE', path)
    for pair in deployment.pairs:
        marks = await deployment.request_control(
            pair.node, 'GET', '/_carobmoor/quarantine'
        )
        assert fingerprint not in {mark['fingerprint'] for mark in marks}


async def check_refused_without_token(
    deployment, method: str, path: str
) -> None:
    """Check that a request without an operator token gets 401."""
    response = await request_json(
        deployment.pool,
        deployment.pairs[0].node,
        OutgoingRequest(method, path, ()),
        TIMEOUT_S,
    )
    assert response.unwrap().head.status == 401


def count_uncleared_crashes(mark) -> int:
    """Return the number of crashes of a mark that are not cleared."""
    return len(set(mark['crash_ids']) - set(mark['cleared_ids']))
