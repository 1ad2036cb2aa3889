"""Each caller's request gets one correct answer, however servers fail."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from nose2.tools import params

from carobmoor.mesh import ServerStatus
from carobmoor.mesh.tests.fixtures import (
    HOST,
    LIMITS,
    Mesh,
    NodeWithServer,
    make_route,
    make_table,
    ready_announcement,
    running_mesh,
)
from carobmoor.mesh.tests.scripted import (
    NAMES,
    ScriptedServer,
    Serve,
    id_header,
)
from carobmoor.routes import RouteKind
from carobmoor.transport import IncomingRequest, get_header

OK = 200
BAD_GATEWAY = 502
NOT_RUN = 503
TIMED_OUT = 504
# Far beyond what any of these tests needs.
TEST_TIMEOUT_S = 20
UPLOAD_MS = 15_000


def answer_with(
    status: int,
    *headers: tuple[bytes, bytes],
    body: bytes = b'',
) -> Serve:
    """Make a server that gives every request the same answer, with its id."""

    async def serve(request: IncomingRequest) -> None:
        await _read(request)
        request.respond(status, (id_header(request), *headers), body)

    return serve


async def reset_connection(request: IncomingRequest) -> None:
    """Abort the connection after reading the request."""
    await _read(request)
    request.abort()


async def send_partial_answer(request: IncomingRequest) -> None:
    """Abort the connection in the middle of the answer."""
    await _read(request)
    request.start(OK, _own_headers(request), 100)
    await request.write(b'part')
    request.abort()


async def never_answer(request: IncomingRequest) -> None:
    """Never answer."""
    await request.disconnected


async def _read(request: IncomingRequest) -> bytes:
    return b''.join([chunk async for chunk in request.chunks()])


def _own_headers(request: IncomingRequest) -> tuple[tuple[bytes, bytes], ...]:
    return (id_header(request), (NAMES.signature, b'signed'))


class Fault(NamedTuple):
    """How a server fails, and the status that each kind of request gets."""

    name: str
    serve: Serve
    # For a non-idempotent request when there is no other server.
    non_idempotent_status: int
    # For an idempotent request when another server works.
    idempotent_status: int


SIGNED = (NAMES.signature, b'signed')
FAULTS = (
    Fault('resets', reset_connection, BAD_GATEWAY, OK),
    Fault('breaks off', send_partial_answer, BAD_GATEWAY, OK),
    Fault('says not run', answer_with(503, (NAMES.not_run, b'1')), NOT_RUN, OK),
    Fault('is another instance', answer_with(421), NOT_RUN, OK),
    Fault('promises without saying so', answer_with(503), BAD_GATEWAY, OK),
    Fault(
        'refuses with a signature', answer_with(429, SIGNED), BAD_GATEWAY, OK
    ),
    Fault('succeeds without a signature', answer_with(200), BAD_GATEWAY, OK),
    Fault('fails', answer_with(500, SIGNED), 500, OK),
    Fault('never answers', never_answer, TIMED_OUT, OK),
)


def run(test: Callable[[Mesh], Awaitable[Any]], *serves: Serve | None) -> Any:
    """Run a test with one node per server."""

    async def main() -> Any:
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            running_mesh(*serves) as mesh,
        ):
            return await test(mesh)

    return asyncio.run(main())


@params(*((fault,) for fault in FAULTS))
def test_non_idempotent_gets_correct_status(fault):
    """A non-idempotent request runs at most once; "not run" is never wrong.

    If it were wrong, the caller would send a request again that has run.
    """

    async def ask(mesh: Mesh) -> tuple[int, int]:
        answer = await mesh.ask(mesh.nodes[0], '/post/1', b'x', 400)
        return answer.head.status, len(mesh.nodes[0].backend.received_requests)

    assert run(ask, fault.serve) == (fault.non_idempotent_status, 1)


@params(*((fault,) for fault in FAULTS))
def test_idempotent_request_is_retried_elsewhere(fault):
    """A working server answers a request after another server failed it."""

    async def ask(mesh: Mesh) -> int:
        failing = mesh.nodes[0].backend
        for number in range(20):
            answer = await mesh.ask(
                mesh.nodes[0],
                f'/get/{number}',
                deadline_ms=400,
            )
            if failing.received_requests:
                return answer.head.status
        raise AssertionError('the failing server was never chosen')

    assert run(ask, fault.serve, None) == fault.idempotent_status


@params(
    ('/get/1', b'', OK),
    ('/post/1', b'x' * 10, OK),
    ('/upload/1', b'x' * 300_000, OK),
    ('/none/1', b'', 404),
)
def test_request_reaches_server_unchanged(target, body, status):
    """Path, query, body and request id reach the server unchanged."""

    async def ask(mesh: Mesh) -> None:
        answer = await mesh.ask(mesh.nodes[0], f'{target}?a=%20b', body)
        assert answer.head.status == status
        received = [
            (backend, request)
            for backend in _backends(mesh)
            for request in backend.received_requests
        ]
        assert len(received) == (status == OK)
        for backend, request in received:
            assert request.target.decode() == f'{target}?a=%20b'
            assert backend.bodies == [body]
            assert get_header(request.headers, NAMES.request_id) == 'request-1'
            caller = get_header(request.headers, NAMES.caller_service)
            assert caller == 'bookings'
            assert get_header(request.headers, NAMES.expected_instance)
            remaining_ms = int(get_header(request.headers, NAMES.deadline_ms))
            assert 0 < remaining_ms <= 1500

    run(ask, None, None)


def test_route_timeout_ends_a_request():
    """The route's timeout ends a request before a longer caller deadline."""

    async def ask(mesh: Mesh) -> int:
        mesh.publish(make_table(2, make_route(timeout_ms=200)))
        await mesh.wait_until(lambda: mesh.nodes[0].node.version == 2)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await mesh.ask(mesh.nodes[0], deadline_ms=5000)
        assert loop.time() - started_s < 2
        return answer.head.status

    assert run(ask, never_answer) == TIMED_OUT


def test_route_limits_attempts():
    """A request is sent no more often than its route allows."""

    async def ask(mesh: Mesh) -> int:
        answer = await mesh.ask(mesh.nodes[0])
        assert answer.head.status == BAD_GATEWAY
        return sum(
            len(backend.received_requests) for backend in _backends(mesh)
        )

    assert (
        run(
            ask,
            reset_connection,
            reset_connection,
            reset_connection,
            reset_connection,
        )
        == 2
    )


def test_request_is_cancelled_with_its_caller():
    """An idempotent request is cancelled at once when its caller leaves.

    Otherwise the server goes on working for nobody and its slot stays taken.
    """

    async def ask(mesh: Mesh) -> None:
        asking = asyncio.create_task(mesh.ask(mesh.nodes[0]))
        backends = _backends(mesh)
        await mesh.wait_until(
            lambda: any(one.received_requests for one in backends)
        )
        asking.cancel()
        received = [
            request
            for backend in backends
            for request in backend.received_requests
        ]
        async with asyncio.timeout(0.5):
            await received[0].disconnected

    run(ask, never_answer, never_answer)


def test_leaving_server_gets_no_new_requests():
    """A server that announced its leaving gets no new requests.

    A heartbeat of the same run that arrives late must not make it ready again.
    """

    async def ask(mesh: Mesh) -> None:
        leaving_node = mesh.nodes[0]
        last = leaving_node.node.backend.last_announcement
        leaving = ready_announcement()._replace(
            instance_id=last.instance_id,
            born_ms=last.born_ms,
            sequence=2,
            status=type(last.status).LEAVING,
        )
        leaving_node.announce(leaving)
        # A late heartbeat of the same run does not make it ready again.
        leaving_node.announce(last._replace(sequence=3))
        for number in range(10):
            answer = await mesh.ask(mesh.nodes[number % 2], f'/post/{number}')
            assert answer.head.status == OK
        assert not leaving_node.backend.received_requests
        assert len(mesh.nodes[1].backend.received_requests) == 10

    run(ask, None, None)


def test_slow_server_gets_no_requests():
    """Requests go to the server without slowdown, not to the local one."""

    async def ask(mesh: Mesh) -> None:
        slow, fast = mesh.nodes
        for pair in mesh.nodes:
            pair.node.backend.record_slowdown(100, time.monotonic())
            pair.backend.load = '0,0,4,100'
        slow.backend.load = '0,0,4,500'
        await asyncio.sleep(0.05)
        for number in range(6):
            await mesh.ask(slow, f'/get/{number}')
        assert not slow.backend.received_requests
        assert len(fast.backend.received_requests) == 6

    run(ask, None, None)


def test_crashing_request_is_quarantined():
    """A request that ran while two servers crashed is not run again.

    Otherwise callers' retries would crash one server after another.
    """

    async def ask(mesh: Mesh) -> None:
        for _ in range(4):
            answer = await mesh.ask(mesh.nodes[2], '/post/bad', b'poison')
            assert answer.head.status in {BAD_GATEWAY, NOT_RUN}
        crashed = [one for one in _backends(mesh) if one.received_requests]
        assert len(crashed) <= 2
        assert answer.head.status == NOT_RUN

    async def main() -> None:
        mesh = Mesh()
        try:
            for place in range(1, 5):
                await mesh.add(place, _crash_of(mesh, place))
            await mesh.wait_until_connected()
            await ask(mesh)
        finally:
            await mesh.close()

    asyncio.run(main())


def test_idempotence_is_set_by_the_route():
    """The route decides whether a request is idempotent, not its method."""
    assert make_route(RouteKind.NON_IDEMPOTENT).kind is not RouteKind.IDEMPOTENT


def _crash_of(mesh: Mesh, place: int) -> Serve:
    async def crash(request: IncomingRequest) -> None:
        await mesh.nodes[place - 1].backend.stop()

    return crash


def _backends(mesh: Mesh) -> list[ScriptedServer]:
    return [pair.backend for pair in mesh.nodes]


# Guards against an upload that reaches its node and is refused by the owner's,
# or breaks off on the way, because of the sizes of its chunks or its head.
@params((1, 0), (4096, 0), (60_000, 0), (4096, 40_000))
def test_upload_in_chunks_reaches_other_node(chunk_bytes, head_bytes):
    """An upload in chunks, with a large head, arrives whole at another node."""
    body = bytes(range(256)) * 600

    async def upload(mesh: Mesh) -> None:
        # The server beside the first node leaves, so that the second runs it.
        first, second = mesh.nodes
        limits = LIMITS._replace(max_header_bytes=65_536)
        route = make_route(RouteKind.UPLOAD, '/upload/', timeout_ms=UPLOAD_MS)
        mesh.publish(make_table(2, route)._replace(limits=limits))
        await mesh.wait_until(
            lambda: all(one.node.version == 2 for one in mesh.nodes)
        )
        last = first.node.backend.last_announcement
        first.announce(
            last._replace(
                status=ServerStatus.LEAVING, sequence=last.sequence + 1
            )
        )
        answer = await _upload(first, body, chunk_bytes, head_bytes)
        assert answer.startswith(b'HTTP/1.1 200 '), answer
        assert second.backend.bodies == [body]

    run(upload, None, None)


def _in_chunks(body: bytes, chunk_bytes: int) -> bytes:
    starts = range(0, len(body), chunk_bytes)
    parts = [body[start : start + chunk_bytes] for start in starts]
    chunks = [b'%x\r\n%b\r\n' % (len(part), part) for part in (*parts, b'')]
    return b''.join(chunks)


async def _upload(
    pair: NodeWithServer, body: bytes, chunk_bytes: int, head_bytes: int
) -> bytes:
    """Send an upload in one write and return the start of its answer."""
    address = pair.node.settings.caller_address
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        b'POST /upload/1 HTTP/1.1\r\nhost: %b\r\nx-id: upload-1\r\n'
        b'x-deadline-ms: %d\r\nx-large: %b\r\n'
        b'transfer-encoding: chunked\r\n\r\n%b'
        % (
            HOST.encode(),
            UPLOAD_MS,
            b'a' * head_bytes,
            _in_chunks(body, chunk_bytes),
        )
    )
    answer = await reader.read(100)
    writer.close()
    return answer
