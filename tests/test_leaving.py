"""Draining, returning, stopping and upgrading under load cut nothing."""

import asyncio
import contextlib
import json
import signal
from collections import Counter

from carobmoor import Call, Code, Unknown
from stand_ins.deployment import Deployment, Place, read_example
from tests.fixtures import asynchronous, client_of, running

BOOKINGS = Place('bookings', 'lagos', 'lagos-a', service_ms=20)
MEDIA = Place('media', 'lagos', 'lagos-a')
DEPOSIT = Call('bookings', 'POST', '/x', b'deposit', timeout_ms=10_000)
PLAIN = (
    b'POST /x HTTP/1.1\r\nhost: any\r\ncontent-length: 7\r\n'
    b'x-carobmoor-service: bookings\r\nx-carobmoor-rank: booking\r\n\r\ndeposit'
)


class Load:
    """Callers that send one call after the other until told to stop."""

    def __init__(self, client, callers=16):
        """Start the callers."""
        self.answers = []
        self.client = client
        self.goes_on = True
        self.tasks = [asyncio.create_task(self.send()) for _ in range(callers)]

    async def send(self):
        """Send calls and gather their outcomes."""
        while self.goes_on:
            self.answers.append(await self.client.call(DEPOSIT))

    async def end(self):
        """Let every call end, and give those that failed."""
        self.goes_on = False
        await asyncio.gather(*self.tasks)
        return [answer for answer in self.answers if answer.is_err()]


class PlainLoad(Load):
    """Plain callers that keep their connections while they may."""

    def __init__(self, address, callers=4):
        """Start the callers towards one node."""
        self.statuses = Counter()
        self.address = address
        super().__init__(None, callers)

    async def send(self):
        """Send requests, on a new connection where the last was closed."""
        while self.goes_on:
            with contextlib.suppress(ConnectionRefusedError):
                reader, writer = await asyncio.open_connection(*self.address)
                await self.use(reader, writer)
                writer.close()
                continue
            return

    async def use(self, reader, writer):
        """Send requests until the node closes the connection."""
        keeps = True
        while self.goes_on and keeps:
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
            keeps = b'connection: close' not in fields


@asynchronous
async def test_drained_node_gets_no_work_until_undone():
    """Work stops, nothing is lost, and work comes back when undone."""
    async with (
        running(BOOKINGS, BOOKINGS) as deployment,
        client_of(deployment) as client,
    ):
        pair = deployment.pairs[0]
        load = Load(client)
        await asyncio.sleep(0.5)
        await deployment.ask(pair.node, 'POST', '/_carobmoor/drain?keep=1')
        await asyncio.sleep(2)
        before = await starts(deployment, pair)
        await asyncio.sleep(0.5)
        after = await starts(deployment, pair)
        await deployment.ask(pair.node, 'DELETE', '/_carobmoor/drain')

        async def works_again():
            return len(await starts(deployment, pair)) > len(after)

        await deployment.until(works_again, 'the node works again')
        # A drain that is to end the process is undone in time, too.
        await deployment.ask(pair.node, 'POST', '/_carobmoor/drain')
        status = await deployment.ask(pair.node, 'DELETE', '/_carobmoor/drain')
        await asyncio.sleep(2.5)
        assert deployment.processes[f'node {pair.name}'].returncode is None
        failed = await load.end()
        counts = await all_starts(deployment)
    assert not status['is_leaving']
    assert before
    assert before == after
    assert failed == []
    assert len(counts) == counts.total() == len(load.answers)


@asynchronous
async def test_stop_and_upgrade_under_load_cut_nothing():
    """A node is replaced on its address while its backend server stays."""
    async with (
        running(BOOKINGS, BOOKINGS, MEDIA) as deployment,
        client_of(deployment) as client,
    ):
        pair = deployment.pairs[0]
        load = Load(client)
        plain = PlainLoad(pair.node)
        await asyncio.sleep(0.5)
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        before = await starts(deployment, pair)
        await deployment.start_node(pair)

        async def works_again():
            return len(await starts(deployment, pair)) > len(before)

        await deployment.until(works_again, 'the new node works')
        failed = await load.end()
        await plain.end()
        counts = await all_starts(deployment)
    assert code == 0
    assert failed == []
    assert set(plain.statuses) == {b'200'}, plain.statuses
    answered = len(load.answers) + plain.statuses[b'200']
    assert len(counts) == counts.total() == answered


@asynchronous
async def test_new_connections_are_served_at_a_stop():
    """A request that comes just after its connection is not turned away."""
    async with running(BOOKINGS, BOOKINGS) as deployment:
        pair = deployment.pairs[0]
        process = deployment.processes[f'node {pair.name}']
        process.send_signal(signal.SIGTERM)
        asking = []
        while process.returncode is None:
            asking.append(asyncio.create_task(ask_late(pair.node)))
            await asyncio.sleep(0.02)
        statuses = Counter(await asyncio.gather(*asking))
    # Those that were not accepted any more have no status.
    statuses.pop(None, None)
    assert set(statuses) == {b'200'}, statuses


async def ask_late(address):
    """Give a request's status; `None` where no connection was taken."""
    try:
        return await ask_after_connecting(address)
    except (OSError, asyncio.IncompleteReadError):
        return None


async def ask_after_connecting(address):
    """Connect, send a request a little later, and give its status."""
    reader, writer = await asyncio.open_connection(*address)
    await asyncio.sleep(0.1)
    writer.write(PLAIN)
    head = await reader.readuntil(b'\r\n')
    writer.close()
    return head.split()[1]


@asynchronous
async def test_node_and_backend_server_stop_in_turn():
    """Both go, the node first, and every call is answered."""
    async with (
        running(BOOKINGS, BOOKINGS) as deployment,
        client_of(deployment) as client,
    ):
        pair = deployment.pairs[0]
        load = Load(client)
        await asyncio.sleep(0.3)
        node_code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        await deployment.stop(f'backend {pair.name}', signal.SIGTERM)
        failed = await load.end()
    assert node_code == 0
    assert failed == []


@asynchronous
async def test_running_upload_ends_by_itself():
    """An upload longer than the linger is received whole."""
    async with (
        running(MEDIA, leave_linger_ms=100) as deployment,
        client_of(deployment) as client,
    ):
        pair = deployment.pairs[0]
        upload = Call(
            'media',
            'POST',
            '/r',
            more_body=slowly(10, 0.15),
            timeout_ms=60_000,
        )
        sending = asyncio.create_task(client.call(upload))
        await asyncio.sleep(0.3)
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        answer = (await sending).unwrap()
    assert code == 0
    assert json.loads(answer.body)['body_bytes'] == 10 * 1024


@asynchronous
async def test_stalled_upload_does_not_hold_a_stop_up():
    """The progress floor ends an upload that stands still."""
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
async def test_bound_of_a_stop_cuts_and_tells():
    """What outlasts the bound is cut, logged, and unknown to its caller."""
    async with (
        running(
            BOOKINGS,
            MEDIA,
            leave_linger_ms=100,
            leave_most_ms=600,
        ) as deployment,
        client_of(deployment) as client,
    ):
        pair = deployment.pairs[0]
        headers = ((b'x-service-ms', b'60000'),)
        call = DEPOSIT._replace(headers=headers, timeout_ms=90_000)
        calling = asyncio.create_task(client.call(call))
        await deployment.until(lambda: starts(deployment, pair), 'it runs')
        code = await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        failure = (await calling).unwrap_err()
        log = (deployment.folder / f'{pair.name}.log').read_text()
    assert code == 0
    assert isinstance(failure, Unknown)
    assert 'Request cut.' in log


@asynchronous
async def test_idle_connection_is_told_before_closing():
    """A request just being written there gets "not run", and is not run."""
    async with running(BOOKINGS, leave_linger_ms=100) as deployment:
        pair = deployment.pairs[0]
        reader, writer = await asyncio.open_connection(*pair.node)
        stopping = asyncio.create_task(
            deployment.stop(f'node {pair.name}', signal.SIGTERM),
        )
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(PLAIN)
        body = json.loads(await reader.read())
        assert await stopping == 0
        assert not await starts(deployment, pair)
        writer.close()
    assert head.startswith(b'HTTP/1.1 408')
    assert (body['outcome'], body['code']) == ('not_run', Code.LEAVING)


async def slowly(count, pause_s):
    """Give a body with a pause before each part."""
    for _ in range(count):
        await asyncio.sleep(pause_s)
        yield bytes(1024)


async def starts(deployment, pair):
    """Tell how often a backend server started each request."""
    told = await deployment.ask(pair.backend_server, 'GET', '/_backend/starts')
    return told['starts']


async def all_starts(deployment):
    """Tell how often any backend server started each request."""
    counts = Counter()
    for pair in deployment.pairs:
        counts.update(await starts(deployment, pair))
    return counts
