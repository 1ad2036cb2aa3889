"""Callers that disconnect, stall or break off release their slot.

Guards against slots held by requests whose caller is gone or makes no
progress, and against "not run" for a request that may have run.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from nose2.tools import params

from stand_ins.deployment import Deployment, Place, read_example
from tests.fixtures import asynchronous

ONE_SLOT = Place('media', 'lagos', 'lagos-a', slots=1)
HEAD = (
    '{} /x HTTP/1.1\r\nhost: any\r\nx-carobmoor-service: media\r\n'
    'x-carobmoor-deadline-ms: 600000\r\n'
)
LONG_MS = 60_000
MEBIBYTE = 1_048_576


@asynchronous
async def test_abandoned_queued_request_never_starts():
    """A queued request whose caller disconnects is never started."""
    async with one_slot_deployment() as deployment:
        first = await send_request(deployment, 'POST', service_ms=LONG_MS)
        await wait_for_status(deployment, 'in_flight', 1)
        second = await send_request(deployment, 'POST', request_id='second')
        await wait_for_status(deployment, 'queued', 1)
        second.close()
        await wait_for_status(deployment, 'queued', 0)
        counters = await request_counters(deployment)
        first.close()
    assert sum(counters['starts'].values()) == 1


@params(('GET', 'cancelled', 1), ('POST', 'ended', {'known': 1}))
def test_abandoned_get_stops_and_post_completes(method, field, expected):
    """When the caller disconnects, GET is cancelled and POST completes."""
    asynchronous(_disconnect_while_running)(method, field, expected)


async def _disconnect_while_running(
    method: str, field: str, expected: Any
) -> None:
    async with one_slot_deployment() as deployment:
        service_ms = LONG_MS if method == 'GET' else 400
        caller = await send_request(deployment, method, service_ms=service_ms)
        await wait_for_status(deployment, 'in_flight', 1)
        caller.close()
        await wait_for_status(deployment, 'in_flight', 0)
        counters = await request_counters(deployment)
    assert counters[field] == expected, counters


@asynchronous
async def test_trickled_upload_releases_its_slot():
    """An upload below the minimum progress rate ends before its deadline."""
    async with one_slot_deployment() as deployment:
        caller = await send_request(deployment, 'POST', more_bytes=9000)
        trickle = asyncio.create_task(_trickle(caller))
        await wait_for_status(deployment, 'in_flight', 1)
        await wait_for_status(deployment, 'in_flight', 0)
        trickle.cancel()


@asynchronous
async def test_stalled_reader_releases_its_slot():
    """A caller that does not read its answer loses its slot."""
    async with one_slot_deployment() as deployment:
        answer_bytes = 64 * MEBIBYTE
        caller = await send_request(
            deployment, 'POST', answer_bytes=answer_bytes
        )
        await wait_for_status(deployment, 'in_flight', 1)
        await wait_for_status(deployment, 'in_flight', 0)
        caller.close()
        assert await deployment.stop('node media-0', 15) == 0


@asynchronous
async def test_broken_body_is_not_reported_as_not_run():
    """A running request whose body breaks off is not reported as "not run"."""
    async with one_slot_deployment() as deployment:
        reader, writer = await connect(deployment)
        head = HEAD.format('POST') + 'transfer-encoding: chunked\r\n\r\n'
        writer.write(f'{head}2\r\nab\r\n'.encode())
        await wait_for_status(deployment, 'in_flight', 1)
        writer.write(b'no chunk at all\r\n')
        answer = b''
        with contextlib.suppress(ConnectionError):
            answer = await reader.read()
        writer.close()
        await wait_for_status(deployment, 'in_flight', 0)
    assert b'not_run' not in answer, answer


@contextlib.asynccontextmanager
async def one_slot_deployment() -> AsyncIterator[Deployment]:
    """Run one server for `media` with one slot and a minimum progress rate."""
    document = read_example('adeyemi')
    document['services']['media'].update(
        slots=1,
        progress_interval_ms=300,
        progress_least_bytes=1024,
    )
    async with Deployment() as deployment:
        await deployment.start((ONE_SLOT,), document)
        yield deployment


async def send_request(
    deployment: Deployment,
    method: str,
    service_ms: int = 0,
    more_bytes: int = 0,
    answer_bytes: int = 0,
    request_id: str = 'known',
) -> asyncio.StreamWriter:
    """Send a request and return its connection; the answer is never read."""
    _, writer = await connect(deployment)
    head = HEAD.format(method)
    writer.write(
        f'{head}x-carobmoor-request-id: {request_id}\r\n'
        f'x-service-ms: {service_ms}\r\nx-answer-bytes: {answer_bytes}\r\n'
        f'content-length: {more_bytes + 1}\r\n\r\nx'.encode(),
    )
    return writer


async def connect(
    deployment: Deployment,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to the node with a read buffer of 1 KiB."""
    address = deployment.pairs[0].node
    return await asyncio.open_connection(*address, limit=1024)


async def wait_for_status(
    deployment: Deployment, field: str, expected: int
) -> None:
    """Wait until a field of the node's status has the wanted value."""
    await deployment.wait_for_status(deployment.pairs[0], field, expected)


async def request_counters(deployment: Deployment) -> Any:
    """Return the request counters of the backend server."""
    address = deployment.pairs[0].backend_server
    return await deployment.request_control(address, 'GET', '/_backend/starts')


async def _trickle(caller: asyncio.StreamWriter) -> None:
    while True:
        caller.write(b'x')
        await asyncio.sleep(0.05)
