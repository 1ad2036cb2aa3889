"""What a backend server says of itself, and faults in its answers."""

import asyncio
import contextlib
import itertools
import signal

from nose2.tools import params

from carobmoor import Call, NotRun, Unknown
from stand_ins.deployment import Place
from stand_ins.raw_server import RawAnswer, RawRequest, serving_raw
from tests.fixtures import asynchronous, connected_client, run_deployment
from tests.test_leaving import starts_by_request

BOOKINGS = Place('bookings', 'lagos', 'lagos-a', service_ms=20)
REQUEST_ID = b'x-carobmoor-request-id'
DEPOSIT = Call('bookings', 'POST', '/x', b'deposit', timeout_ms=1000)
CALLS = 12
LIMIT_PER_S = 5
# In the second until the deadline of the calls: one and a half times the
# limit, and five requests more.
MAX_LIMITED_STARTS = 1.5 * LIMIT_PER_S + 5
LIMITED_CALLS = 40
_numbers = itertools.count()


def answer_of(
    status: str, request_id: str, *lines: str, body: str = ''
) -> bytes:
    """Return an encoded answer; without an id it names no request."""
    named = (f'x-carobmoor-request-id: {request_id}',) if request_id else ()
    head = (
        f'HTTP/1.1 {status}',
        *named,
        *lines,
        f'content-length: {len(body)}',
    )
    return '\r\n'.join((*head, '', body)).encode()


class RecordingServer:
    """Answers with 200 and more header lines, and records what it starts."""

    def __init__(self, *lines: str) -> None:
        """Add these lines to the head of each answer."""
        self.started: list[str] = []
        self.lines = lines
        # Written before the answer where the connection was used before.
        self.stray = b''
        # How much of an answer is written before the connection closes.
        self.kept_bytes: int | None = None

    def answer(self, request: RawRequest) -> RawAnswer:
        """Return the next answer."""
        request_id = request.value_of(REQUEST_ID)
        self.started.append(request_id)
        own = answer_of('200 OK', request_id, *self.lines, body='done')
        if self.kept_bytes is not None:
            return RawAnswer((own[: self.kept_bytes],), closes=True)
        if self.stray and request.place:
            return RawAnswer((self.stray, own))
        return RawAnswer((own,))


@contextlib.asynccontextmanager
async def two_servers(first: RecordingServer):
    """Run two servers of one service, the first of them scripted."""
    async with (
        run_deployment(BOOKINGS, BOOKINGS) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        await deployment.stop(f'backend {pair.name}', signal.SIGKILL)
        async with serving_raw(pair.backend_server, first.answer):
            yield deployment, client


async def send_calls(client, count):
    """Send calls at once and return their results by request id."""
    calls = [
        DEPOSIT._replace(request_id=f'call-{next(_numbers):05}')
        for _ in range(count)
    ]
    results = await asyncio.gather(*(client.call(call) for call in calls))
    return dict(zip((call.request_id for call in calls), results, strict=True))


# Guards against a caller who is told that a request did not run, or whose
# request runs at a second server, because the first repeats an old refusal.
@params('earlier', '')
@asynchronous
async def test_repeated_refusal_proves_nothing(repeated_id):
    """A refusal of another request is no proof of "not run"."""
    server = RecordingServer()
    server.stray = answer_of('503 Full', repeated_id)
    async with two_servers(server) as (deployment, client):
        results = {}
        for _ in range(CALLS):
            sent = await send_calls(client, 2)
            results |= {
                request_id: result
                for request_id, result in sent.items()
                if request_id in server.started
            }
        starts = await starts_by_request(deployment, deployment.pairs[1])
    # Nothing ran at both, or twice at one.
    assert not set(starts).intersection(server.started)
    assert len(server.started) == len(set(server.started))
    assert set(starts.values()) <= {1}
    assert results
    failures = [one.unwrap_err() for one in results.values() if one.is_err()]
    assert not any(isinstance(failure, NotRun) for failure in failures)


# Guards against a success with an empty or short body, framed as whole, when
# the server stops within the head of its answer and closes.
@asynchronous
async def test_answer_cut_in_its_head_is_no_success():
    """The outcome of such a request is unknown, wherever its answer ends."""
    head_bytes = len(answer_of('200 OK', 'call-00000'))
    server = RecordingServer()
    async with two_servers(server) as (_, client):
        for kept_bytes in range(0, head_bytes, 5):
            server.kept_bytes = kept_bytes
            server.started.clear()
            results = await send_calls(client, 2)
            for request_id in server.started:
                failure = results[request_id].unwrap_err()
                assert isinstance(failure, Unknown)


# Guards against requests to a server that has said in an answer, but not by a
# drain of its node, that it leaves.
@asynchronous
async def test_answer_that_says_leaving_ends_requests():
    """Its node drains, and the other server gets all requests."""
    server = RecordingServer('x-carobmoor-leaving: 1')
    async with two_servers(server) as (deployment, client):
        for _ in range(CALLS):
            await send_calls(client, 2)
        await deployment.wait_for_status(
            deployment.pairs[0], 'is_leaving', True
        )
        before = len(server.started)
        results = await send_calls(client, CALLS)
    assert before
    assert len(server.started) == before
    assert all(result.is_ok() for result in results.values())


# Guards against a server that gets more than the rate limit that it names.
@asynchronous
async def test_named_rate_limit_is_kept():
    """What exceeds the limit goes to the other server or is refused."""
    server = RecordingServer(f'x-carobmoor-rate-limit: {LIMIT_PER_S}')
    async with two_servers(server) as (_, client):
        while not server.started:
            await send_calls(client, 2)
        server.started.clear()
        results = await send_calls(client, LIMITED_CALLS)
    assert len(server.started) <= MAX_LIMITED_STARTS
    failures = {
        request_id: result.unwrap_err()
        for request_id, result in results.items()
        if result.is_err()
    }
    # One that starts shortly before its deadline may miss it.
    assert all(
        isinstance(failure, NotRun) or request_id in server.started
        for request_id, failure in failures.items()
    ), failures
    assert len(failures) < LIMITED_CALLS
