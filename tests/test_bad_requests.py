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


CHUNKED = HEAD + SERVICE + b'transfer-encoding: chunked\r\n\r\n'
KEPT = b'GET /none HTTP/1.1\r\nhost: any\r\n' + SERVICE + b'\r\n'
FIELD = b'name: 0123456789\r\n'


# Guards against an upload that is refused because of its chunks or the reads
# that they come in.
@params((1, b''), (700, b';ext=%b' % (b'5' * 64)), (16_384, b''))
def test_chunks_of_any_size_are_accepted(chunk_bytes, extension):
    """A body in chunks is served in one write and behind another request."""
    asynchronous(_upload_in_chunks)(chunk_bytes, extension)


async def _upload_in_chunks(chunk_bytes: int, extension: bytes) -> None:
    whole = 60_000 // chunk_bytes
    chunk = b'%x%b\r\n%b\r\n' % (chunk_bytes, extension, bytes(chunk_bytes))
    upload = CHUNKED + chunk * whole + b'0\r\n\r\n'
    async with run_deployment(PLACE) as deployment:
        for before in (b'', KEPT):
            answer = await send_raw(deployment, before + upload)
            served = answer.count(b'HTTP/1.1 200')
            assert served == (2 if before else 1), answer


# Guards against framing without end that a node receives as long as it comes,
# and keeps where it is trailers; and against a refusal that is lost in a reset.
@params(
    b'3;%b\r\nabc\r\n' % (b'x' * 80_000),
    b'0' * 80_000 + b'3\r\nabc\r\n',
    b'0\r\n' + FIELD * 6000,
    b'0\r\nname: ' + b'a' * 80_000,
)
def test_too_much_framing_is_refused(framing):
    """Chunk sizes, extensions and trailers over the limit get a status."""
    asynchronous(_send_framing)(framing)


async def _send_framing(framing: bytes) -> None:
    async with run_deployment(PLACE) as deployment:
        for before in (b'', KEPT):
            sent = before + CHUNKED + b'3\r\nabc\r\n' + framing
            answer = await send_raw(deployment, sent)
            last = answer[answer.rindex(b'HTTP/1.1') :]
            assert last.startswith(b'HTTP/1.1 431'), answer
            assert json.loads(last.partition(b'\r\n\r\n')[2])['code']
            assert answer.count(b'HTTP/1.1') == (2 if before else 1), answer
        assert await count_starts(deployment) == 1


# Guards against the loss of an answer whose connection is reset because the
# request behind it is refused.
@asynchronous
async def test_refusal_waits_for_earlier_answer():
    """A head that is too large is refused after the answer before it."""
    too_large = HEAD + b'x: ' + b'y' * 70_000 + b'\r\n\r\n'
    async with run_deployment(PLACE) as deployment:
        answer = await send_raw(deployment, KEPT + too_large)
    assert answer.startswith(b'HTTP/1.1 200'), answer
    assert answer.count(b'HTTP/1.1 431') == 1, answer
