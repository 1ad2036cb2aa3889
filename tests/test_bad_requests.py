"""Malformed, oversized and unauthorised requests are refused.

Guards against such a request being run by a backend server, or leaving the
node unable to serve the next valid one.
"""

import asyncio
import json

from nose2.tools import params

from stand_ins.deployment import Deployment, Place
from tests.fixtures import asynchronous, run_deployment

PLACE = Place('payments', 'lagos', 'lagos-a')
HEAD = b'POST /deposits HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
SERVICE = b'x-carobmoor-service: payments\r\n'

CASES = (
    (b'no http at all\r\n\r\n', 400, 'bad_request'),
    (HEAD + b'x: ' + b'y' * 70_000 + b'\r\n\r\n', 431, 'headers_too_large'),
    (
        HEAD + SERVICE + b'content-length: 70000\r\n\r\n' + bytes(70_000),
        413,
        'body_too_large',
    ),
    (HEAD + b'x-carobmoor-service: none\r\n\r\n', 404, 'unknown_service'),
    (HEAD + b'\r\n', 404, 'unknown_service'),
    (HEAD + SERVICE + b'x-carobmoor-rank: x\r\n\r\n', 400, 'unknown_rank'),
    (
        HEAD + SERVICE + b'x-carobmoor-deadline-ms: -1\r\n\r\n',
        400,
        'bad_request',
    ),
    (HEAD + SERVICE + b'x-carobmoor-depth: 900\r\n\r\n', 400, 'bad_request'),
)


@asynchronous
async def test_bad_requests_are_refused():
    """Each kind gets its status and code, and no backend server runs it."""
    async with run_deployment(PLACE) as deployment:
        for sent, status, code in CASES:
            answer = await send_raw(deployment, sent)
            assert answer.startswith(f'HTTP/1.1 {status}'.encode()), answer
            body = json.loads(answer.partition(b'\r\n\r\n')[2])
            assert body['code'] == code, body
            assert body['outcome'] == 'not_run'
        assert await count_starts(deployment) == 0
        answer = await send_raw(deployment, HEAD + SERVICE + b'\r\n')
        assert answer.startswith(b'HTTP/1.1 200'), answer


@asynchronous
async def test_too_long_chunked_body_is_refused():
    """The body limit also holds for a body without a declared length."""
    chunk = b'4000\r\n' + bytes(0x4000) + b'\r\n'
    head = HEAD + SERVICE + b'transfer-encoding: chunked\r\n\r\n'
    async with run_deployment(PLACE) as deployment:
        answer = await send_raw(deployment, head + chunk * 8 + b'0\r\n\r\n')
    assert answer.startswith((b'HTTP/1.1 413', b'HTTP/1.1 502')), answer


@params(b'', b'authorization: Bearer wrong\r\n')
def test_operator_token_is_required(header):
    """A configuration is refused without a valid operator token."""
    asynchronous(_put_unauthorised)(header)


async def _put_unauthorised(header: bytes) -> None:
    async with run_deployment(PLACE) as deployment:
        head = b'PUT /_carobmoor/configuration HTTP/1.1\r\nhost: any\r\n'
        tail = b'connection: close\r\ncontent-length: 2\r\n\r\n{}'
        answer = await send_raw(deployment, head + header + tail)
        assert answer.startswith(b'HTTP/1.1 401'), answer
        status = await deployment.request_control(
            deployment.pairs[0].node,
            'GET',
            '/_carobmoor/status',
        )
    assert status['configuration_version'] == 1


async def send_raw(deployment: Deployment, sent: bytes) -> bytes:
    """Send bytes to the first node and return all it sends until it closes."""
    reader, writer = await asyncio.open_connection(*deployment.pairs[0].node)
    writer.write(sent)
    answer = await reader.read()
    writer.close()
    return answer


async def count_starts(deployment: Deployment) -> int:
    """Return how many requests the first backend server started."""
    counters = await deployment.request_control(
        deployment.pairs[0].backend_server,
        'GET',
        '/_backend/starts',
    )
    return len(counters['starts'])
