"""Idempotency keys of plain callers, with several nodes and store faults.

Guards against a request with a key being started twice, when copies reach
several nodes or the store loses the answer to a claim.
"""

import asyncio
import json

from nose2.tools import params

from carobmoor import Code
from carobmoor.transport import OutgoingRequest, request_json
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, run_deployment

BOOKINGS = Place('bookings', 'lagos', 'lagos-a')
MEDIA = Place('media', 'lagos', 'lagos-a')


@asynchronous
async def test_copies_with_a_key_start_once():
    """Concurrent and later copies get one answer; another body a conflict."""
    async with run_deployment(BOOKINGS, BOOKINGS, MEDIA) as deployment:
        first, second = await asyncio.gather(
            send(deployment, 0),
            send(deployment, 2),
        )
        late = await send(deployment, 1)
        other = await send(deployment, 1, body=b'other')
        assert await count_starts(deployment) == [1]
    assert first.head.status == 200
    assert first.body == second.body == late.body
    assert json.loads(other.body)['code'] == Code.CONFLICT


@params({'loses_answers': 1}, {'loses_answers': 2}, {'delay_ms': 150})
def test_claim_with_lost_answer_starts_once(faults):
    """A request runs once if the answer to its claim is lost or late."""
    asynchronous(_send_twice)(faults)


async def _send_twice(faults):
    async with run_deployment(BOOKINGS, BOOKINGS, MEDIA) as deployment:
        await deployment.set_faults(deployment.platform, **faults)
        first = await send(deployment, 2)
        second = await send(deployment, 0)
        assert await count_starts(deployment) == [1]
    assert first.head.status == 200, first.body
    assert first.body == second.body


@asynchronous
async def test_key_is_not_run_while_store_is_down():
    """A request is not run while the store is down, and runs once it is up."""
    async with run_deployment(BOOKINGS, MEDIA) as deployment:
        await deployment.set_faults(deployment.platform, is_down=True)
        refused = await send(deployment, 1)
        assert await count_starts(deployment) == []
        await deployment.set_faults(deployment.platform, is_down=False)
        answered = await send(deployment, 0)
        assert await count_starts(deployment) == [1]
    refusal = json.loads(refused.body)
    assert (refusal['outcome'], refusal['code']) == (
        'not_run',
        Code.STORE_UNAVAILABLE,
    )
    assert answered.head.status == 200


async def send(deployment, index, body=b'deposit'):
    """Send a request with the idempotency key and return its answer."""
    headers = (
        (b'x-carobmoor-service', b'bookings'),
        (b'x-carobmoor-caller', b'plain'),
        (b'idempotency-key', b'the-one-key'),
    )
    request = OutgoingRequest('POST', '/x', headers, body)
    node = deployment.pairs[index].node
    response = await request_json(deployment.pool, node, request, 10)
    return response.unwrap()


async def count_starts(deployment):
    """Return the number of starts of each request on each backend server."""
    counts = []
    for pair in deployment.pairs:
        counters = await deployment.request_control(
            pair.backend_server,
            'GET',
            '/_backend/starts',
        )
        counts.extend(counters['starts'].values())
    return counts
