"""Drain, stop and upgrade of a node under load cut off no request."""

import asyncio
import contextlib
import json
import signal
from collections import Counter

from carobmoor import Call, Code, Unknown
from stand_ins.deployment import Deployment, Place, read_example
from tests.fixtures import asynchronous, connected_client, run_deployment

BOOKINGS = Place('bookings', 'lagos', 'lagos-a', service_ms=20)
MEDIA = Place('media', 'lagos', 'lagos-a')
DEPOSIT = Call('bookings', 'POST', '/x', b'deposit', timeout_ms=10_000)
PLAIN = (
    b'POST /x HTTP/1.1\r\nhost: any\r\ncontent-length: 7\r\n'
    b'x-carobmoor-service: bookings\r\nx-carobmoor-rank: booking\r\n\r\ndeposit'
)
SLOW_PLAIN = PLAIN.replace(b'\r\n\r\n', b'\r\nx-service-ms: 5000\r\n\r\n')


class Load:
    """Callers that each send one call after the other until stopped."""

    def __init__(self, client, callers=16):
        """Start the callers."""
        self.answers = []
        self.client = client
        self.is_running = True
        self.tasks = [asyncio.create_task(self.send()) for _ in range(callers)]

    async def send(self):
        """Send calls and record their outcomes."""
        while self.is_running:
            self.answers.append(await self.client.call(DEPOSIT))

    async def finish(self):
        """Stop sending, wait for pending calls and return the failed ones."""
        self.is_running = False
        await asyncio.gather(*self.tasks)
        return [answer for answer in self.answers if answer.is_err()]


class PlainLoad(Load):
    """Plain callers that reuse a connection until the node closes it."""

    def __init__(self, address, callers=4):
        """Start callers that send to one node."""
        self.statuses = Counter()
        self.address = address
        super().__init__(None, callers)

    async def send(self):
        """Send requests, reconnecting when the node closed the connection."""
        while self.is_running:
            with contextlib.suppress(ConnectionRefusedError):
                reader, writer = await asyncio.open_connection(*self.address)
                await self.send_on_connection(reader, writer)
                writer.close()
                continue
            return

    async def send_on_connection(self, reader, writer):
        """Send requests until the node closes the connection."""
        keeps_open = True
        while self.is_running and keeps_open:
            writer.write(PLAIN)
            head = await reader.readuntil(b'\r\n\r\n')
            fields = head.lower().split(b'\r\n')
            lengths = [
                int(field.partition(b':')[2])
                for field in fields
                if field.startswith(b'content-length:')
            ]
            await reader.readexactly(lengths[0])
            self.statuses[fields[0].split()[1]] += 1
            keeps_open = b'connection: close' not in fields


@asynchronous
async def test_drained_node_starts_nothing_until_undone():
    """A drained node starts no request until the drain is undone.

    No call fails meanwhile, and each request is started once.
    """
    async with (
        run_deployment(BOOKINGS, BOOKINGS) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        load = Load(client)
        await asyncio.sleep(0.5)
        await deployment.request_control(
            pair.node, 'POST', '/_carobmoor/drain?keep=1'
        )
        await asyncio.sleep(2)
        before = await starts_by_request(deployment, pair)
        await asyncio.sleep(0.5)
        after = await starts_by_request(deployment, pair)
        await deployment.request_control(
            pair.node, 'DELETE', '/_carobmoor/drain'
        )

        async def works_again():
            return len(await starts_by_request(deployment, pair)) > len(after)

        await deployment.wait_until(works_again, 'the node works again')
        # Without `keep`, a drain ends the process; it can be undone until then.
        await deployment.request_control(pair.node, 'POST', '/_carobmoor/drain')
        status = await deployment.request_control(
            pair.node, 'DELETE', '/_carobmoor/drain'
        )
        await asyncio.sleep(2.5)
        assert deployment.processes[f'node {pair.name}'].returncode is None
        failed = await load.finish()
        counts = await all_starts_by_request(deployment)
    assert not status['is_leaving']
    assert before
    assert before == after
    assert failed == []
    assert len(counts) == counts.total() == len(load.answers)


@asynchronous
async def test_stop_and_upgrade_under_load_cut_nothing():
    """A node is replaced at its address while its backend server keeps running.

    Neither callers of the library nor plain callers get a failure.
    """
    async with (
        run_deployment(BOOKINGS, BOOKINGS, MEDIA) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        load = Load(client)
        plain = PlainLoad(pair.node)
        await asyncio.sleep(0.5)
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        before = await starts_by_request(deployment, pair)
        await deployment.start_node(pair)

        async def works_again():
            return len(await starts_by_request(deployment, pair)) > len(before)

        await deployment.wait_until(works_again, 'the new node works')
        failed = await load.finish()
        await plain.finish()
        counts = await all_starts_by_request(deployment)
    assert code == 0
    assert failed == []
    assert set(plain.statuses) == {b'200'}, plain.statuses
    answered = len(load.answers) + plain.statuses[b'200']
    assert len(counts) == counts.total() == answered


@asynchronous
async def test_new_connections_are_served_during_stop():
    """A connection accepted during a stop gets its request answered.

    Each request is sent 0.1 s after connecting, when the node may be closing
    idle connections already.
    """
    async with run_deployment(BOOKINGS, BOOKINGS) as deployment:
        pair = deployment.pairs[0]
        process = deployment.processes[f'node {pair.name}']
        process.send_signal(signal.SIGTERM)
        pending_requests = []
        while process.returncode is None:
            pending_requests.append(
                asyncio.create_task(send_late_request(pair.node))
            )
            await asyncio.sleep(0.02)
        statuses = Counter(await asyncio.gather(*pending_requests))
    # Connections that were refused have no status.
    statuses.pop(None, None)
    assert set(statuses) == {b'200'}, statuses


async def send_late_request(address):
    """Return the status of a request, `None` if the connection failed."""
    try:
        return await send_after_connecting(address)
    except (OSError, asyncio.IncompleteReadError):
        return None


async def send_after_connecting(address):
    """Connect, send a request 0.1 s later and return its status."""
    reader, writer = await asyncio.open_connection(*address)
    await asyncio.sleep(0.1)
    writer.write(PLAIN)
    head = await reader.readuntil(b'\r\n')
    writer.close()
    return head.split()[1]


@asynchronous
async def test_node_and_backend_server_stop_in_turn():
    """No call fails when a node and then its backend server are stopped."""
    async with (
        run_deployment(BOOKINGS, BOOKINGS) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        load = Load(client)
        await asyncio.sleep(0.3)
        node_code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        await deployment.stop(f'backend {pair.name}', signal.SIGTERM)
        failed = await load.finish()
    assert node_code == 0
    assert failed == []


@asynchronous
async def test_running_upload_completes_during_stop():
    """An upload that outlasts the linger time is received completely."""
    async with (
        run_deployment(MEDIA, leave_linger_ms=100) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        upload = Call(
            'media',
            'POST',
            '/r',
            more_body=slow_body(10, 0.15),
            timeout_ms=60_000,
        )
        sending = asyncio.create_task(client.call(upload))
        await asyncio.sleep(0.3)
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        answer = (await sending).unwrap()
    assert code == 0
    assert json.loads(answer.body)['body_bytes'] == 10 * 1024


@asynchronous
async def test_stalled_upload_does_not_delay_stop():
    """A stalled upload is ended by the minimum progress rate, not cut off."""
    document = read_example('adeyemi')
    document['services']['media']['progress_interval_ms'] = 300
    async with Deployment() as deployment:
        await deployment.start((MEDIA,), document)
        pair = deployment.pairs[0]
        _, writer = await asyncio.open_connection(*pair.node)
        writer.write(
            b'POST /r HTTP/1.1\r\nhost: any\r\ncontent-length: 100000\r\n'
            b'x-carobmoor-service: media\r\n\r\npart',
        )
        await asyncio.sleep(0.1)
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        log = (deployment.folder / f'{pair.name}.log').read_text()
        writer.close()
    assert code == 0
    assert 'Request cut.' not in log


@asynchronous
async def test_request_beyond_stop_limit_is_unknown():
    """A request that outlasts the stop's time limit is cut off.

    It is logged, and its caller gets the outcome "unknown".
    """
    async with (
        run_deployment(
            BOOKINGS,
            MEDIA,
            leave_linger_ms=100,
            leave_most_ms=600,
        ) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        headers = ((b'x-service-ms', b'60000'),)
        call = DEPOSIT._replace(headers=headers, timeout_ms=90_000)
        calling = asyncio.create_task(client.call(call))
        await deployment.wait_until(
            lambda: starts_by_request(deployment, pair), 'a request runs'
        )
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        failure = (await calling).unwrap_err()
        log = (deployment.folder / f'{pair.name}.log').read_text()
    assert code == 0
    assert isinstance(failure, Unknown)
    assert 'Request cut.' in log


# Guards against a request that arrives late in a stop, is passed on, and is cut
# without an answer when the process ends.
@asynchronous
async def test_late_request_is_refused_at_stop():
    """A request that could not end before the node is refused at once."""
    async with (
        run_deployment(BOOKINGS, BOOKINGS, leave_most_ms=3000) as deployment,
        connected_client(deployment) as client,
    ):
        pair = deployment.pairs[0]
        # Keeps the node from ending early.
        headers = ((b'x-service-ms', b'60000'),)
        long_call = DEPOSIT._replace(headers=headers, timeout_ms=90_000)
        calling = [
            asyncio.create_task(client.call(long_call)) for _ in range(4)
        ]
        await deployment.wait_until(
            lambda: starts_by_request(deployment, pair), 'a request runs'
        )
        stopping = asyncio.create_task(
            deployment.stop(f'node {pair.name}', signal.SIGTERM)
        )
        # The first moments of a stop, in which callers can't know of it.
        await asyncio.sleep(1)
        reader, writer = await asyncio.open_connection(*pair.node)
        writer.write(SLOW_PLAIN)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        await stopping
        for task in calling:
            task.cancel()
        await asyncio.gather(*calling, return_exceptions=True)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'x-carobmoor-outcome: not_run' in head


@asynchronous
async def test_idle_connection_is_refused_at_stop():
    """A stopping node answers an idle connection with 408 before closing it.

    A request that its caller is just writing gets "not run" and is not run.
    """
    async with run_deployment(BOOKINGS, leave_linger_ms=100) as deployment:
        pair = deployment.pairs[0]
        reader, writer = await asyncio.open_connection(*pair.node)
        stopping = asyncio.create_task(
            deployment.stop(f'node {pair.name}', signal.SIGTERM),
        )
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(PLAIN)
        body = json.loads(await reader.read())
        assert await stopping == 0
        assert not await starts_by_request(deployment, pair)
        writer.close()
    assert head.startswith(b'HTTP/1.1 408')
    assert (body['outcome'], body['code']) == ('not_run', Code.LEAVING)


async def slow_body(count, pause_s):
    """Yield parts of a body with a pause before each."""
    for _ in range(count):
        await asyncio.sleep(pause_s)
        yield bytes(1024)


async def starts_by_request(deployment, pair):
    """Return the number of starts of each request at a backend server."""
    counters = await deployment.request_control(
        pair.backend_server, 'GET', '/_backend/starts'
    )
    return counters['starts']


async def all_starts_by_request(deployment):
    """Return the number of starts of each request at all backend servers."""
    counts = Counter()
    for pair in deployment.pairs:
        counts.update(await starts_by_request(deployment, pair))
    return counts
