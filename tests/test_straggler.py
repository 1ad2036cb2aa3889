"""Slow backend servers: load shift, hedges and spreading, by start counts."""

import asyncio
import json
from types import MappingProxyType

from carobmoor import Call, Client
from stand_ins.deployment import Deployment, Place, ServerPair, read_example
from tests.fixtures import asynchronous, connected_client, run_deployment

PLACE = Place('bookings', 'lagos', 'lagos-a', service_ms=5)
DEPOSIT = Call('bookings', 'POST', '/x', b'x', timeout_ms=20_000)
MANY_HEDGES = MappingProxyType(
    {'retry_share': 1.0, 'hedge_share': 1.0, 'retry_reserve': 100},
)
BROWSE = DEPOSIT._replace(method='GET', body=b'', repeatable=True)


@asynchronous
async def test_straggler_gets_few_calls():
    """A backend server that becomes 40 times slower gets few calls."""
    async with (
        run_deployment(PLACE, PLACE, PLACE) as deployment,
        connected_client(deployment) as client,
    ):
        slow = deployment.pairs[0]
        before = await _answering_owners(client, DEPOSIT, 90)
        await deployment.set_faults(slow.backend_server, slowdown=40)
        # One call at a time, so calls in flight don't reveal the straggler.
        await _answering_owners(client, DEPOSIT, 40, at_once=1)
        after = await _answering_owners(client, DEPOSIT, 90, at_once=1)
    assert before.count(str(slow.node)) >= 15
    assert after.count(str(slow.node)) <= 9


@asynchronous
async def test_hedge_is_answered_by_other_server():
    """A call stuck at one backend server is hedged to another and cancelled."""
    document = {**read_example('adeyemi'), 'retries': dict(MANY_HEDGES)}
    async with Deployment() as deployment:
        await deployment.start((PLACE, PLACE), document)
        await _check_hedge(deployment)


async def _check_hedge(deployment: Deployment) -> None:
    stuck = deployment.pairs[0]
    async with connected_client(deployment) as client:
        await _answering_owners(client, BROWSE, 80)
        await deployment.set_faults(stuck.backend_server, slowdown=100_000)
        owners = await _answering_owners(client, BROWSE, 12)
        hedged = client.dispatcher.retries.budget_of('bookings').hedges_sent

        async def all_cancelled() -> bool:
            counters = await _request_counters(deployment, stuck)
            started = sum(counters['starts'].values())
            ended = sum(counters['ended'].values()) + counters['cancelled']
            return started == ended and counters['cancelled'] > 0

        await deployment.wait_until(
            all_cancelled, 'every hedged call is cancelled'
        )
    assert hedged
    assert set(owners) == {str(deployment.pairs[1].node)}


@asynchronous
async def test_unrepeatable_call_is_not_hedged():
    """A slow call that is not repeatable is not hedged and starts once."""
    async with (
        run_deployment(PLACE, PLACE) as deployment,
        connected_client(deployment) as client,
    ):
        await _answering_owners(client, DEPOSIT, 80)
        slow = DEPOSIT._replace(headers=((b'x-service-ms', b'400'),))
        called = await client.call(slow)
        request_id = called.unwrap().request_id
        counters = [
            await _request_counters(deployment, pair)
            for pair in deployment.pairs
        ]
    starts = [one['starts'].get(request_id, 0) for one in counters]
    assert sum(starts) == 1
    assert not client.dispatcher.retries.budget_of('bookings').hedges_sent


@asynchronous
async def test_request_for_other_owner_is_refused():
    """A node refuses a request addressed to another owner."""
    async with run_deployment(PLACE, PLACE) as deployment:
        first, other = deployment.pairs
        head = (
            b'GET /x HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
            b'x-carobmoor-service: bookings\r\n'
            b'x-carobmoor-owner: %b\r\n\r\n'
        )
        answer = await _send_raw(first, head % str(other.node).encode())
        counters = [
            await _request_counters(deployment, pair)
            for pair in deployment.pairs
        ]
    refusal = json.loads(answer.partition(b'\r\n\r\n')[2])
    assert (refusal['outcome'], refusal['code']) == ('not_run', 'not_owner')
    assert not any(one['starts'] for one in counters)


@asynchronous
async def test_plain_requests_are_spread():
    """A node spreads plain requests over the backend servers of its service."""
    async with run_deployment(PLACE, PLACE) as deployment:
        first = deployment.pairs[0]
        head = (
            b'GET /x HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
            b'x-carobmoor-service: bookings\r\nx-service-ms: 50\r\n\r\n'
        )
        answers = await asyncio.gather(
            *(_send_raw(first, head) for _ in range(30))
        )
        counters = [
            await _request_counters(deployment, pair)
            for pair in deployment.pairs
        ]
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    starts = [len(one['starts']) for one in counters]
    assert sum(starts) == 30
    assert min(starts) >= 5


async def _answering_owners(
    client: Client,
    call: Call,
    count: int,
    at_once: int = 6,
) -> list[str]:
    """Send `count` calls, `at_once` at a time; return who answered each."""
    semaphore = asyncio.Semaphore(at_once)

    async def one() -> str:
        async with semaphore:
            called = await client.call(call)
        return called.unwrap().owner

    return await asyncio.gather(*(one() for _ in range(count)))


async def _request_counters(deployment: Deployment, pair: ServerPair):
    return await deployment.request_control(
        pair.backend_server, 'GET', '/_backend/starts'
    )


async def _send_raw(pair: ServerPair, sent: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*pair.node)
    writer.write(sent)
    answer = await reader.read()
    writer.close()
    return answer
