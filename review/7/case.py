"""A node gets SIGTERM while callers read large answers over a slow link."""

import asyncio
import functools
import signal
import socket
import time
from pathlib import Path

import lab

FOLDER = Path(__file__).resolve().parent
SERVICE = 'huvo11a'
# Of the machines 0.44 are stopped; the largest share on the site is 0.45.
MACHINES = 36
STOPPED = 16
# A link of the sheets has 5 to 100 Mbit/s; the callers share this one. It has
# the segment size of Ethernet and a small window.
LINK_MBIT_PER_S = 5
SEGMENT_BYTES = 1460
WINDOW_BYTES = 4096
# One for each caller: the largest answer of `ficheiro-impressao` in its site
# file.
ANSWER_BYTES = (540_000,) * 5
# As `ficheiro-impressao` of the sheets.
DEADLINE_MS = 5296
TERM_AFTER_S = 0.3
# Between two machines, without a stop.
PAUSE_S = 1.0
_BLOCK = bytes(range(256)) * 256


async def answer_large(server, writer, first, headers, body):
    """Answer as a sound server does, with many bytes."""
    request_id = headers['x-carobmoor-request-id']
    size = int(first.split('/')[2].split(' ')[0])
    writer.write(
        f'HTTP/1.1 200 OK\r\nX-Carobmoor-Request-Id: {request_id}\r\n'
        f'X-Carobmoor-Response-Signature: {request_id}.1\r\n'
        f'{server.load()}content-length: {size}\r\n\r\n'.encode()
    )
    left = size
    while left:
        piece = _BLOCK[:left]
        writer.write(piece)
        left -= len(piece)
        await writer.drain()
    return True


def read_slowly(ip, request_id, size):
    """Send a request, read at the speed of the link; return what came."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    caller.settimeout(DEADLINE_MS / 1000)
    caller.connect((ip, 8304))
    headers = (
        ('X-Carobmoor-Request-Id', request_id),
        ('X-Carobmoor-Deadline-Ms', str(DEADLINE_MS)),
    )
    began = time.monotonic()
    caller.sendall(
        lab.encode_request(
            'GET', f'/cufi502/{size}', headers=headers, host=lab.HOST
        )
    )
    received = b''
    while b'\r\n\r\n' not in received:
        part = caller.recv(4096)
        if not part:
            return 'closed without an answer', 0, size, time.monotonic() - began
        received += part
    head, _, start = received.partition(b'\r\n\r\n')
    status = head.split(b' ')[1].decode()
    got = len(start)
    per_s = LINK_MBIT_PER_S * 125_000 / len(ANSWER_BYTES)
    first_s = time.monotonic()
    outcome = 'complete'
    while got < size:
        ahead_s = got / per_s - (time.monotonic() - first_s)
        if ahead_s > 0:
            time.sleep(ahead_s)
        if time.monotonic() - began > DEADLINE_MS / 1000:
            outcome = 'deadline'
            break
        try:
            part = caller.recv(4096)
        except OSError as error:
            outcome = f'cut: {error}'
            break
        if not part:
            outcome = 'cut'
            break
        got += len(part)
    caller.close()
    return f'{status} {outcome}', got, size, time.monotonic() - began


async def run():
    platform = lab.Platform(
        FOLDER, [SERVICE] * MACHINES, lab.VASCONCELOS_MESH
    )
    record = platform.record
    routes = [lab.route('/cufi502/', SERVICE, 'download', '6s')]
    cut = 0
    try:
        await platform.start(lab.document(1, routes, [SERVICE]))
        for server in platform.servers:
            server.special = functools.partial(answer_large, server)
        await asyncio.sleep(3)
        reads = {}
        for place in platform.places[:STOPPED]:
            for number, size in enumerate(ANSWER_BYTES):
                name = f'r{place.number}-{number}'
                reads[name] = asyncio.create_task(
                    asyncio.to_thread(read_slowly, place.ip, name, size)
                )
            await asyncio.sleep(TERM_AFTER_S)
            if not lab.TROUBLE:
                await asyncio.sleep(PAUSE_S)
                continue
            term_s = time.monotonic()
            platform.signal(place, signal.SIGTERM)
            await place.process.wait()
            record.say(
                f'node {place.number} ended {time.monotonic() - term_s:.2f}'
                f' s after SIGTERM with code {place.process.returncode}'
            )
            # One machine at a time: the next one when this one is back.
            await platform.start_node(place)
            await platform.wait_ready([place])
        for name, read in reads.items():
            outcome, got, size, took_s = await read
            record.say(
                f'{name}: {outcome}, {got} of {size} bytes in {took_s:.2f} s'
            )
            cut += 'cut' in outcome or 'closed' in outcome
    finally:
        await platform.close()
    record.say(f'LOST: {"broken" if cut else "held"}; {cut} answers cut')
    return lab.BROKEN if cut else lab.HELD


lab.run(run)
