"""Random input on every listener does not stop a node or grow its memory."""

import asyncio
import contextlib
import json
import random
import socket
from pathlib import Path

from carobmoor import Call
from stand_ins.deployment import Deployment, Place
from tests.fixtures import asynchronous, connected_client, run_deployment

PLACE = Place('payments', 'lagos', 'lagos-a')
ROUNDS = 150
MAX_GROWTH_KB = 65536
FRAGMENTS = (
    b'POST /x HTTP/1.1\r\nhost: a\r\n',
    b'GET /_carobmoor/status HTTP/1.1\r\n',
    b'PUT /_carobmoor/configuration HTTP/1.1\r\n',
    b'POST /_carobmoor/tickets HTTP/1.1\r\n',
    b'x-carobmoor-service: none\r\n',
    b'x-carobmoor-deadline-ms: 99999999999999999999\r\n',
    b'x-carobmoor-ticket: ["a","b",1,0,"c"]\r\n',
    b'content-length: 5\r\n',
    b'transfer-encoding: chunked\r\n',
    b'\r\n',
    b'ffffffffffffffffff\r\n',
    b'[' * 3000,
    b'\x00' * 100,
)


@asynchronous
async def test_random_input_runs_no_request():
    """No request is run, memory is bounded, and the next call is answered."""
    rng = random.Random(1)
    async with run_deployment(PLACE) as deployment:
        before_kb = resident_kb(deployment)
        for _ in range(ROUNDS):
            await send_raw(deployment, random_request(rng))
            send_datagram(deployment, random_request(rng))
            send_datagram(deployment, random_datagram(rng))
        counters = await deployment.request_control(
            deployment.pairs[0].backend_server,
            'GET',
            '/_backend/starts',
        )
        assert counters['starts'] == {}
        async with connected_client(deployment) as client:
            called = await client.call(Call('payments', 'POST', '/x', b'x'))
        assert called.is_ok(), called
        assert resident_kb(deployment) - before_kb < MAX_GROWTH_KB


@asynchronous
async def test_malformed_documents_are_refused():
    """Malformed documents are refused and the version stays the same."""
    async with run_deployment(PLACE) as deployment:
        node = deployment.pairs[0].node
        target = '/_carobmoor/configuration'
        submission = b'{"base_version":1,"reason":"x","document":%b}'
        for body in (
            b'',
            b'[]',
            submission % (b'[' * 20_000),
            submission % (b'[' * 20_000 + b']' * 20_000),
            submission % b'{"ranks":[],"services":{}}',
            submission % b'null',
        ):
            answer = await deployment.request_control(node, 'PUT', target, body)
            assert 'code' in answer or 'faults' in answer, answer
        status = await deployment.request_control(
            node, 'GET', '/_carobmoor/status'
        )
    assert status['configuration_version'] == 1


def random_request(rng: random.Random) -> bytes:
    """Join random protocol fragments and random bytes."""
    parts = [rng.choice(FRAGMENTS) for _ in range(rng.randint(1, 6))]
    parts.insert(rng.randint(0, len(parts)), rng.randbytes(rng.randint(0, 40)))
    return b''.join(parts)


def random_datagram(rng: random.Random) -> bytes:
    """Return a datagram with the right structure and random values."""
    invalid_addresses = (
        '',
        'x',
        '10.0.0.1',
        '10.0.0.1:x',
        '10.0.0.1:70000',
        'é:1',
    )
    member = [
        rng.choice(invalid_addresses),
        'payments',
        rng.choice(invalid_addresses),
        '',
        rng.randint(-5, 2**62),
        rng.randint(0, 4),
    ]
    message = [
        rng.randint(0, 5),
        rng.randint(-1, 9),
        rng.choice(invalid_addresses),
        rng.choice(invalid_addresses),
        rng.randint(-1, 3),
        [member],
    ]
    return json.dumps(message).encode()


def send_datagram(deployment: Deployment, payload: bytes) -> None:
    """Send a datagram to the node."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(payload[:60_000], deployment.pairs[0].node)


async def send_raw(deployment: Deployment, sent: bytes) -> None:
    """Send bytes to the node, close the sending side and read the answer."""
    reader, writer = await asyncio.open_connection(*deployment.pairs[0].node)
    with contextlib.suppress(ConnectionError):
        writer.write(sent)
        writer.write_eof()
        await reader.read()
    writer.close()


def resident_kb(deployment: Deployment) -> int:
    """Return the resident memory of the node."""
    pid = deployment.processes[f'node {deployment.pairs[0].name}'].pid
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS:')
    )
    return int(line.split()[1])
