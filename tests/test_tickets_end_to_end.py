"""A request is started at most once, also when nodes fail or restart."""

import asyncio
import json
import signal

from carobmoor import Call, Code, Unknown
from carobmoor.transport import OutgoingRequest, request_json
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, connected_client, run_deployment

BOOKINGS = Place('bookings', 'lagos', 'lagos-a')
MEDIA = Place('media', 'lagos', 'lagos-a')
SLOW = ((b'x-service-ms', b'700'),)


@asynchronous
async def test_killed_owner_gives_unknown_and_one_start():
    """A request whose owner is killed ends as unknown and starts only once."""
    async with (
        run_deployment(BOOKINGS, BOOKINGS) as deployment,
        connected_client(deployment) as client,
    ):
        call = Call('bookings', 'POST', '/x', b'deposit', headers=SLOW)
        task = asyncio.create_task(client.call(call))
        owner = await wait_for_busy_pair(deployment)
        await deployment.kill(f'node {owner.name}')
        failure = (await task).unwrap_err()
        counts = [
            count
            for pair in deployment.pairs
            for count in (await starts_by_request(deployment, pair)).values()
        ]
    assert isinstance(failure, Unknown)
    assert failure.peer == str(owner.node)
    assert counts == [1]


@asynchronous
async def test_copies_of_one_ticket_start_once():
    """Copies sent through several nodes get the answer of a single run."""
    async with run_deployment(BOOKINGS, BOOKINGS, MEDIA) as deployment:
        minted = await request_ticket(deployment)
        first, second = await asyncio.gather(
            send_with_ticket(deployment, deployment.pairs[0], minted, SLOW),
            send_with_ticket(deployment, deployment.pairs[2], minted, SLOW),
        )
        late = await send_with_ticket(
            deployment, deployment.pairs[1], minted, SLOW
        )
        counts = [
            count
            for pair in deployment.pairs
            for count in (await starts_by_request(deployment, pair)).values()
        ]
    assert first.head.status == 200
    assert first.body == second.body == late.body
    assert counts == [1]


@asynchronous
async def test_restarted_owner_refuses_old_tickets():
    """After a restart of the owner, tickets from before it are refused.

    A plain resend gets "unknown"; a call of the library gets a new ticket.
    """
    async with (
        run_deployment(BOOKINGS, MEDIA) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        call = Call('bookings', 'POST', '/x', b'x')
        assert (await client.call(call)).is_ok()
        minted = await request_ticket(deployment)
        assert (
            await send_with_ticket(deployment, pair, minted)
        ).head.status == 200
        await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        await deployment.start_node(pair)
        await deployment.wait_for_status(pair, 'is_ready', True)
        refused = await send_with_ticket(deployment, pair, minted)
        counts_by_request = await starts_by_request(deployment, pair)
        await client.refresh()
        again = await client.call(call)
    document = json.loads(refused.body)
    assert (document['outcome'], document['code']) == (
        'unknown',
        Code.TICKET_REFUSED,
    )
    assert counts_by_request[minted['request_id']] == 1
    assert again.is_ok(), again


@asynchronous
async def test_same_request_id_twice_starts_once():
    """Calls of one client with the same request id share one run."""
    async with (
        run_deployment(BOOKINGS, BOOKINGS) as deployment,
        connected_client(deployment) as client,
    ):
        call = Call('bookings', 'POST', '/x', headers=SLOW, request_id='twice')
        first, second = await asyncio.gather(
            client.call(call),
            client.call(call),
        )
        late = await client.call(call)
        counts = [
            (await starts_by_request(deployment, pair)).get('twice', 0)
            for pair in deployment.pairs
        ]
    assert first.unwrap().body == second.unwrap().body == late.unwrap().body
    assert sum(counts) == 1


async def wait_for_busy_pair(deployment):
    """Wait until a backend server runs a request and return its pair."""
    found = []

    async def is_busy():
        for pair in deployment.pairs:
            if await starts_by_request(deployment, pair):
                found.append(pair)
        return bool(found)

    await deployment.wait_until(is_busy, 'a request runs')
    return found[0]


async def starts_by_request(deployment, pair):
    """Return the number of starts of each request at a backend server."""
    counters = await deployment.request_control(
        pair.backend_server, 'GET', '/_backend/starts'
    )
    return counters['starts']


async def request_ticket(deployment):
    """Request a ticket from the last node, as a plain caller does."""
    return await deployment.request_control(
        deployment.pairs[-1].node,
        'POST',
        '/_carobmoor/tickets',
        b'{"service": "bookings"}',
    )


async def send_with_ticket(deployment, pair, minted, headers=()):
    """Send a request with a plain caller's ticket to a node."""
    request = OutgoingRequest(
        'POST',
        '/x',
        (
            (b'x-carobmoor-service', b'bookings'),
            (b'x-carobmoor-caller', b'plain'),
            (b'x-carobmoor-request-id', minted['request_id'].encode()),
            (b'x-carobmoor-ticket', minted['ticket'].encode()),
            *headers,
        ),
        b'deposit',
    )
    response = await request_json(deployment.pool, pair.node, request, 10)
    return response.unwrap()
