"""Servers that answer a long upload early and then reset the connection.

An answer without a length ends with its connection; what came before a reset
must not pass for the whole answer.
"""

import asyncio
import contextlib
import socket
import struct

from nose2.tools import params

from carobmoor.mesh.tests.fixtures import HOST, Mesh, running_mesh
from carobmoor.mesh.tests.scripted import NAMES

ZERO_LINGER = struct.pack('ii', 1, 0)
UPLOAD_BYTES = 3_000_000
PIECE = b'u' * 16_384
TEST_TIMEOUT_S = 20
# Below and above what a node buffers before it passes an answer on.
SMALL_BYTES = 4000
LARGE_BYTES = 200_000
HEAD = (
    f'POST /upload/1 HTTP/1.1\r\nhost: {HOST}\r\n'
    f'{NAMES.request_id.decode()}: request-1\r\n'
    f'{NAMES.deadline_ms.decode()}: 1500\r\n'
    f'content-length: {UPLOAD_BYTES}\r\n\r\n'
).encode()


def _serve(part_bytes: int, pause_s: float):
    """Answer early with a part, pause, and reset the connection."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        if head.startswith(b'GET /health'):
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            writer.close()
            return
        writer.write(
            b'HTTP/1.1 200 OK\r\nx-id: request-1\r\nx-signature: signed\r\n\r\n'
        )
        writer.write(b'p' * part_bytes)
        await asyncio.sleep(pause_s)
        accepted = writer.get_extra_info('socket')
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        writer.transport.abort()

    return serve


async def _upload(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)
    with contextlib.suppress(ConnectionError):
        for _ in range(UPLOAD_BYTES // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(0.001)


async def _ask(mesh: Mesh) -> bytes:
    """Upload to the first node and return all that comes back."""
    settings = mesh.nodes[0].node.settings
    reader, writer = await asyncio.open_connection(*settings.caller_address)
    uploading = asyncio.create_task(_upload(writer))
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(65_536):
            received += part
            if b'content-length' in received:
                break
    uploading.cancel()
    writer.close()
    return bytes(received)


async def _run(is_remote: bool, part_bytes: int, pause_s: float) -> bytes:
    async with asyncio.timeout(TEST_TIMEOUT_S), running_mesh() as mesh:
        if is_remote:
            await mesh.add(1, service='other')
        faulty = await mesh.add(2)
        await faulty.backend.stop()
        address = faulty.node.settings.backend_server
        server = await asyncio.start_server(
            _serve(part_bytes, pause_s), address.ip, address.port
        )
        await mesh.wait_until_connected()
        received = await _ask(mesh)
        server.close()
        return received


# Guards against a part of an answer that passes for the whole one, since the
# connection was reset while the upload was still being written.
@params(
    (False, SMALL_BYTES, 0),
    (False, SMALL_BYTES, 0.1),
    (False, LARGE_BYTES, 0),
    (False, LARGE_BYTES, 0.1),
    (True, SMALL_BYTES, 0),
    (True, SMALL_BYTES, 0.1),
    (True, LARGE_BYTES, 0),
    (True, LARGE_BYTES, 0.1),
)
def test_reset_answer_is_not_complete(is_remote, part_bytes, pause_s):
    """The caller gets a failure, or an answer that is visibly cut."""
    received = asyncio.run(_run(is_remote, part_bytes, pause_s))
    status = received.partition(b' ')[2][:3]
    head, _, body = received.partition(b'\r\n\r\n')
    if status == b'200':
        assert b'transfer-encoding: chunked' in head
        assert not body.endswith(b'0\r\n\r\n'), 'passed for a whole answer'
    else:
        assert status in {b'', b'502'}, head
