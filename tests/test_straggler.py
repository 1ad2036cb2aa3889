"""A straggler and a hedge, across processes, judged by counts."""

import asyncio
import json
from types import MappingProxyType

from carobmoor import Call, Client
from stand_ins.deployment import Deployment, Pair, Place, read_example
from tests.fixtures import asynchronous, client_of, running

PLACE = Place('bookings', 'lagos', 'lagos-a', service_ms=5)
DEPOSIT = Call('bookings', 'POST', '/x', b'x', timeout_ms=20_000)
MANY_HEDGES = MappingProxyType(
    {'retry_share': 1.0, 'hedge_share': 1.0, 'retry_reserve': 100},
)
BROWSE = DEPOSIT._replace(method='GET', body=b'', repeatable=True)


@asynchronous
async def test_straggler_gets_few_calls():
    """A server that grows slow without warning loses its share."""
    async with (
        running(PLACE, PLACE, PLACE) as deployment,
        client_of(deployment) as client,
    ):
        slow = deployment.pairs[0]
        before = await _owners(client, DEPOSIT, 90)
        await deployment.set_faults(slow.backend_server, slowdown=40)
        # One call at a time: nothing in flight gives the straggler away.
        await _owners(client, DEPOSIT, 40, at_once=1)
        after = await _owners(client, DEPOSIT, 90, at_once=1)
    assert before.count(str(slow.node)) >= 15
    assert after.count(str(slow.node)) <= 9


@asynchronous
async def test_hedge_is_answered_elsewhere():
    """A call stuck at one server is answered by another, and cancelled."""
    document = {**read_example('adeyemi'), 'retries': dict(MANY_HEDGES)}
    async with Deployment() as deployment:
        await deployment.start((PLACE, PLACE), document)
        await _hedge(deployment)


async def _hedge(deployment: Deployment) -> None:
    stuck = deployment.pairs[0]
    async with client_of(deployment) as client:
        await _owners(client, BROWSE, 80)
        await deployment.set_faults(stuck.backend_server, slowdown=100_000)
        owners = await _owners(client, BROWSE, 12)
        hedged = client.dispatcher.retries.budget_of('bookings').hedges_sent

        async def all_cancelled() -> bool:
            told = await _told(deployment, stuck)
            started = sum(told['starts'].values())
            ended = sum(told['ended'].values()) + told['cancelled']
            return started == ended and told['cancelled'] > 0

        await deployment.until(all_cancelled, 'what was hedged is cancelled')
    assert hedged
    assert set(owners) == {str(deployment.pairs[1].node)}


@asynchronous
async def test_deposit_is_never_hedged():
    """A slow call that may not be repeated starts once, all in all."""
    async with (
        running(PLACE, PLACE) as deployment,
        client_of(deployment) as client,
    ):
        await _owners(client, DEPOSIT, 80)
        slow = DEPOSIT._replace(headers=((b'x-service-ms', b'400'),))
        called = await client.call(slow)
        request_id = called.unwrap().request_id
        told = [await _told(deployment, pair) for pair in deployment.pairs]
    starts = [one['starts'].get(request_id, 0) for one in told]
    assert sum(starts) == 1
    assert not client.dispatcher.retries.budget_of('bookings').hedges_sent


@asynchronous
async def test_named_owner_never_forwards():
    """A request that names another owner is refused by this node."""
    async with running(PLACE, PLACE) as deployment:
        here, other = deployment.pairs
        head = (
            b'GET /x HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
            b'x-carobmoor-service: bookings\r\n'
            b'x-carobmoor-owner: %b\r\n\r\n'
        )
        answer = await _speak(here, head % str(other.node).encode())
        told = [await _told(deployment, pair) for pair in deployment.pairs]
    refusal = json.loads(answer.partition(b'\r\n\r\n')[2])
    assert (refusal['outcome'], refusal['code']) == ('not_run', 'not_owner')
    assert not any(one['starts'] for one in told)


@asynchronous
async def test_plain_requests_are_spread():
    """A node of the service shares plain callers' requests with others."""
    async with running(PLACE, PLACE) as deployment:
        here = deployment.pairs[0]
        head = (
            b'GET /x HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
            b'x-carobmoor-service: bookings\r\nx-service-ms: 50\r\n\r\n'
        )
        answers = await asyncio.gather(*(_speak(here, head) for _ in range(30)))
        told = [await _told(deployment, pair) for pair in deployment.pairs]
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    starts = [len(one['starts']) for one in told]
    assert sum(starts) == 30
    assert min(starts) >= 5


async def _owners(
    client: Client,
    call: Call,
    count: int,
    at_once: int = 6,
) -> list[str]:
    """Send calls, a few at a time, and tell who answered each."""
    gate = asyncio.Semaphore(at_once)

    async def one() -> str:
        async with gate:
            called = await client.call(call)
        return called.unwrap().owner

    return await asyncio.gather(*(one() for _ in range(count)))


async def _told(deployment: Deployment, pair: Pair):
    return await deployment.ask(pair.backend_server, 'GET', '/_backend/starts')


async def _speak(pair: Pair, sent: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*pair.node)
    writer.write(sent)
    answer = await reader.read()
    writer.close()
    return answer
