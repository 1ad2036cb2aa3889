"""A backend server that never ends its answer holds nothing for long."""

import asyncio

from nose2.tools import params

from carobmoor.mesh.tests.fixtures import (
    Mesh,
    make_route,
    make_table,
    running_mesh,
)
from carobmoor.mesh.tests.scripted import NAMES, id_header
from carobmoor.transport import (
    AnswerIncomplete,
    IncomingRequest,
    Listener,
    ServingLimits,
    get_header,
)

DEADLINE_MS = 400
# Far beyond the deadline, below the test's own time limit.
RELEASE_S = 1.5
TEST_TIMEOUT_S = 20
PIECE = b'x' * 8192
LONG_DEADLINE_MS = 10_000
# More than the kernel buffers on the way, far less than a server can send
# until the deadline.
MAX_SENT_BYTES = 24_000_000


async def answer_without_end(request: IncomingRequest) -> None:
    """Send a body until the caller closes the connection."""
    request_id = get_header(request.headers, NAMES.request_id).encode()
    headers = ((NAMES.request_id, request_id), (NAMES.signature, b'signed'))
    request.start(200, headers, None)
    while not request.disconnected.done():
        await request.write(PIECE)
        await asyncio.sleep(0.002)


@params('/get/1', '/post/1', '/upload/1')
def test_endless_answer_releases_slot(target):
    """At its deadline the caller's answer ends, visibly incomplete.

    The server's slot is free soon after, on the caller's node and on others.
    """
    asyncio.run(_ask_for_endless_answer(target))


async def _ask_for_endless_answer(target: str) -> None:
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        running_mesh(answer_without_end, answer_without_end) as mesh,
    ):
        for number in range(4):
            await _ask(mesh, target, f'request-{number}')
        await asyncio.sleep(RELEASE_S)
        for pair in mesh.nodes:
            assert not pair.node.gate.state.in_flight_total
            assert not pair.node.callers.unfinished


async def _ask(mesh: Mesh, target: str, request_id: str) -> None:
    body = b'' if target.startswith('/get') else b'x'
    try:
        answer = await mesh.ask(
            mesh.nodes[0], target, body, DEADLINE_MS, request_id
        )
    except AnswerIncomplete:
        return
    raise AssertionError(f'{len(answer.body)} bytes passed for a whole answer')


# Guards against a node that keeps, or reads until the deadline, the body of a
# server error that it discards to try another server.
@params(False, True)
def test_endless_error_is_not_read(is_remote):
    """Another server answers, and the endless body is cut off soon."""
    asyncio.run(_ask_for_endless_error(is_remote))


async def _ask_for_endless_error(is_remote: bool) -> None:
    sent_bytes = 0
    ended = asyncio.Event()

    async def fail_without_end(request: IncomingRequest) -> None:
        nonlocal sent_bytes
        request.start(500, (id_header(request),), None)
        try:
            while not request.disconnected.done():
                await request.write(PIECE)
                sent_bytes += len(PIECE)
        finally:
            ended.set()

    async with asyncio.timeout(TEST_TIMEOUT_S), running_mesh() as mesh:
        if is_remote:
            await mesh.add(1, service='other')
        await mesh.add(2, fail_without_end)
        await mesh.add(3, zone='c')
        route = make_route(timeout_ms=LONG_DEADLINE_MS)
        mesh.publish(make_table(2, route))
        await mesh.wait_until_connected()
        first = mesh.nodes[0].node
        await mesh.wait_until(lambda: first.version == 2)
        answer = await mesh.ask(mesh.nodes[0], deadline_ms=LONG_DEADLINE_MS)
        assert answer.body == b'done'
        async with asyncio.timeout(RELEASE_S):
            await ended.wait()
    assert sent_bytes < MAX_SENT_BYTES, sent_bytes


# Guards against health checks whose answers are kept although only their heads
# are used.
def test_endless_health_answer_is_cut():
    """The check ends as failed after a small part of the body."""
    asyncio.run(_check_health())


async def _check_health() -> None:
    sent_bytes = 0

    async def answer_health(request: IncomingRequest) -> None:
        nonlocal sent_bytes
        request.start(200, (), None)
        while not request.disconnected.done():
            await request.write(PIECE)
            sent_bytes += len(PIECE)

    async with asyncio.timeout(TEST_TIMEOUT_S), running_mesh(None) as mesh:
        node = mesh.nodes[0].node
        await mesh.nodes[0].backend.stop()
        health = Listener(answer_health, ServingLimits)
        await health.listen(node.settings.backend_server)
        await node.slowdown_monitor.ask()
        health.stop_accepting()
    assert 0 < sent_bytes < MAX_SENT_BYTES, sent_bytes
