"""Requests from end to end through separate processes."""

import asyncio
import hashlib
import json
import signal

from carobmoor import Call, Code, NotRun
from carobmoor.transport import read_whole
from stand_ins.deployment import Place
from tests.fixtures import asynchronous, connected_client, run_deployment

BOOKINGS_A = Place('bookings', 'lagos', 'lagos-a')
BOOKINGS_B = Place('bookings', 'lagos', 'lagos-b')
MEDIA = Place('media', 'lagos', 'lagos-a')
MEBIBYTE = 1_048_576


@asynchronous
async def test_answer_matches_its_request():
    """The answer has the id of the request and the digest of its body."""
    body = b'a drum kit for sunday'
    async with (
        run_deployment(BOOKINGS_A, BOOKINGS_B) as deployment,
        connected_client(deployment) as client,
    ):
        call = Call('bookings', 'POST', '/x', body, rank='booking')
        called = await client.call(call)
    answer = json.loads(called.unwrap().body)
    assert answer['request_id'] == called.unwrap().request_id
    assert answer['body_sha256'] == hashlib.sha256(body).hexdigest()


@asynchronous
async def test_node_of_other_service_forwards():
    """A node of another service forwards a plain request."""
    async with run_deployment(BOOKINGS_A, MEDIA) as deployment:
        reader, writer = await asyncio.open_connection(
            *deployment.pairs[1].node
        )
        writer.write(
            b'GET /plain HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
            b'x-carobmoor-service: bookings\r\n'
            b'x-carobmoor-rank: booking\r\n\r\n',
        )
        answer = await reader.read()
        writer.close()
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'bookings-0' in answer


@asynchronous
async def test_large_bodies_stream_both_ways():
    """A body and an answer larger than any buffer arrive completely."""
    chunk = bytes(65536)
    count = 512

    async def chunks():
        for _ in range(count):
            yield chunk

    async with (
        run_deployment(MEDIA) as deployment,
        connected_client(deployment) as client,
    ):
        call = Call(
            'media',
            'POST',
            '/recordings',
            more_body=chunks(),
            timeout_ms=60_000,
        )
        uploaded = await client.call(call)
        answer_bytes = 40 * MEBIBYTE
        headers = ((b'x-answer-bytes', str(answer_bytes).encode()),)
        call = Call('media', 'GET', '/r', headers=headers, timeout_ms=60_000)
        streamed = await client.stream(call)
        received = await read_whole(streamed.unwrap(), answer_bytes)
    answer = json.loads(uploaded.unwrap().body)
    assert answer['body_bytes'] == count * len(chunk)
    assert len(received) == answer_bytes


@asynchronous
async def test_calls_pending_at_sigterm_are_answered():
    """Every call pending during a graceful stop is answered."""
    slow = Place('bookings', 'lagos', 'lagos-a', service_ms=40)
    async with (
        run_deployment(slow, slow) as deployment,
        connected_client(deployment) as client,
    ):
        calls = [
            asyncio.create_task(
                client.call(Call('bookings', 'POST', '/x', b'x')),
            )
            for _ in range(40)
        ]
        await asyncio.sleep(0.02)
        code = await deployment.stop('node bookings-0', signal.SIGTERM)
        answers = await asyncio.gather(*calls)
    assert code == 0
    assert [answer for answer in answers if answer.is_err()] == []


@asynchronous
async def test_refusal_has_code_step_and_peer():
    """A missed deadline is reported with its code, step and peer."""
    slow = Place('bookings', 'lagos', 'lagos-a', service_ms=400)
    async with (
        run_deployment(slow) as deployment,
        connected_client(deployment) as client,
    ):
        call = Call('bookings', 'POST', '/x', timeout_ms=60)
        answers = await asyncio.gather(*(client.call(call) for _ in range(40)))
        pair = deployment.pairs[0]
        counters = await deployment.request_control(
            deployment.pairs[0].backend_server,
            'GET',
            '/_backend/starts',
        )
    refused = [
        answer.unwrap_err()
        for answer in answers
        if answer.is_err() and isinstance(answer.unwrap_err(), NotRun)
    ]
    # Refused as unreachable before the deadline, and as lapsed after it.
    node = str(pair.node)
    unreachable = (Code.DEADLINE_UNREACHABLE, 'admission', node)
    lapsed = (Code.DEADLINE_LAPSED, 'admission', node)
    # The deadline may also pass while the node is connecting.
    unconnected = (Code.NOT_SENT, 'connect', str(pair.backend_server))
    reported = {(fault.code, fault.step, fault.peer) for fault in refused}
    assert reported & {unreachable, lapsed}
    assert reported <= {unreachable, lapsed, unconnected}
    assert len(counters['starts']) <= len(answers) - len(refused)


@asynchronous
async def test_killed_backend_server_gives_unknown():
    """The outcome of a request is unknown if its backend server is killed."""
    async with (
        run_deployment(BOOKINGS_A) as deployment,
        connected_client(deployment) as client,
    ):
        headers = ((b'x-service-ms', b'10000'),)
        call = Call(
            'bookings', 'POST', '/x', headers=headers, timeout_ms=20_000
        )
        task = asyncio.create_task(client.call(call))
        await asyncio.sleep(0.3)
        await deployment.kill('backend bookings-0')
        failure = (await task).unwrap_err()
        peer = str(deployment.pairs[0].backend_server)
    assert failure.code is Code.OUTCOME_UNKNOWN
    assert failure.step == 'awaiting_answer'
    assert failure.peer == peer
