"""A request is started at most once, also when nodes fail or restart."""

import asyncio
import json
import signal

from carobmoor import Call, Code, Unknown
from carobmoor.transport import OutgoingRequest, request_json
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, client_of, running

BOOKINGS = Place('bookings', 'lagos', 'lagos-a')
MEDIA = Place('media', 'lagos', 'lagos-a')
SLOW = ((b'x-service-ms', b'700'),)


@asynchronous
async def test_killed_owner_gives_unknown_and_one_start():
    """A request whose owner is killed ends as unknown and starts only once."""
    async with (
        running(BOOKINGS, BOOKINGS) as deployment,
        client_of(deployment) as client,
    ):
        call = Call('bookings', 'POST', '/x', b'deposit', headers=SLOW)
        task = asyncio.create_task(client.call(call))
        owner = await busy_pair(deployment)
        await deployment.kill(f'node {owner.name}')
        failure = (await task).unwrap_err()
        counts = [
            count
            for pair in deployment.pairs
            for count in (await starts(deployment, pair)).values()
        ]
    assert isinstance(failure, Unknown)
    assert failure.peer == str(owner.node)
    assert counts == [1]


@asynchronous
async def test_one_ticket_on_two_paths_starts_once():
    """Copies sent through several nodes get the answer of a single run."""
    async with running(BOOKINGS, BOOKINGS, MEDIA) as deployment:
        minted = await mint_plain(deployment)
        first, second = await asyncio.gather(
            send_plain(deployment, deployment.pairs[0], minted, SLOW),
            send_plain(deployment, deployment.pairs[2], minted, SLOW),
        )
        late = await send_plain(deployment, deployment.pairs[1], minted, SLOW)
        counts = [
            count
            for pair in deployment.pairs
            for count in (await starts(deployment, pair)).values()
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
        running(BOOKINGS, MEDIA) as deployment,
        client_of(deployment) as client,
    ):
        pair = deployment.pairs[0]
        call = Call('bookings', 'POST', '/x', b'x')
        assert (await client.call(call)).is_ok()
        minted = await mint_plain(deployment)
        assert (await send_plain(deployment, pair, minted)).head.status == 200
        await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        await deployment.start_node(pair)
        await deployment.until_status(pair, 'is_ready', True)
        refused = await send_plain(deployment, pair, minted)
        told = await starts(deployment, pair)
        await client.refresh()
        again = await client.call(call)
    document = json.loads(refused.body)
    assert (document['outcome'], document['code']) == (
        'unknown',
        Code.TICKET_REFUSED,
    )
    assert told[minted['request_id']] == 1
    assert again.is_ok(), again


@asynchronous
async def test_id_sent_twice_by_a_client_starts_once():
    """Calls of one client with the same request id share one run."""
    async with (
        running(BOOKINGS, BOOKINGS) as deployment,
        client_of(deployment) as client,
    ):
        call = Call('bookings', 'POST', '/x', headers=SLOW, request_id='twice')
        first, second = await asyncio.gather(
            client.call(call),
            client.call(call),
        )
        late = await client.call(call)
        counts = [
            (await starts(deployment, pair)).get('twice', 0)
            for pair in deployment.pairs
        ]
    assert first.unwrap().body == second.unwrap().body == late.unwrap().body
    assert sum(counts) == 1


async def busy_pair(deployment):
    """Wait until a backend server runs a request and return its pair."""
    found = []

    async def is_busy():
        for pair in deployment.pairs:
            if await starts(deployment, pair):
                found.append(pair)
        return bool(found)

    await deployment.until(is_busy, 'a request runs')
    return found[0]


async def starts(deployment, pair):
    """Return the number of starts of each request at a backend server."""
    told = await deployment.ask(pair.backend_server, 'GET', '/_backend/starts')
    return told['starts']


async def mint_plain(deployment):
    """Request a ticket from the last node, as a plain caller does."""
    return await deployment.ask(
        deployment.pairs[-1].node,
        'POST',
        '/_carobmoor/tickets',
        b'{"service": "bookings"}',
    )


async def send_plain(deployment, pair, minted, headers=()):
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
    asked = await request_json(deployment.pool, pair.node, request, 10)
    return asked.unwrap()
