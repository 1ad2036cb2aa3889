"""Verification of peer certificates and reloading of replaced ones.

A reload must not close open connections, and unusable files, as halfway
through a replacement, must not count as reloaded.
"""

import asyncio
import ssl
import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.tls import (
    CertificateFiles,
    CertificateState,
    caller_context,
    listener_context,
    reload_if_changed,
)
from carobmoor.tls.tests.fixtures import make_authority, write_certificate
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
REQUEST = OutgoingRequest('GET', '/', ())
TIMEOUT_S = 5


def test_reload_keeps_open_connections():
    """Open connections continue; new ones get the new certificate."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(replace_certificate(Path(folder)))


async def replace_certificate(folder: Path) -> None:
    """Replace the listener's certificate files between two calls."""
    authority = make_authority()
    files = write_certificate(authority, folder)
    listener = listener_context(files)
    state = CertificateState(files, (listener,))
    address = await serve(listener)
    context = caller_context(files)
    old = await asyncio.open_connection(*address, ssl=context)
    before = await request_certificate(old)
    write_certificate(authority, folder)
    assert reload_if_changed(state)
    assert not reload_if_changed(state)
    new = await asyncio.open_connection(*address, ssl=context)
    after = await request_certificate(new)
    assert await request_certificate(old) == before
    assert after != before
    for _, writer in (old, new):
        writer.close()


@params('127.0.0.1', '127.0.0.9', 'stranger')
def test_wrong_certificates_are_rejected(certificate_name):
    """A certificate for another IP or by another authority is rejected."""
    with tempfile.TemporaryDirectory() as folder:
        is_connected = asyncio.run(can_connect(Path(folder), certificate_name))
    assert is_connected is (certificate_name == '127.0.0.1')


async def can_connect(folder: Path, certificate_name: str) -> bool:
    """Call a listener with the named certificate; return whether it worked.

    `stranger` stands for a certificate of another authority, and any other
    name for the IP address in the certificate.
    """
    client_folder = folder / 'mine'
    client_folder.mkdir()
    authority = make_authority()
    client_files = write_certificate(authority, client_folder)
    signer = make_authority() if certificate_name == 'stranger' else authority
    ip = '127.0.0.1' if certificate_name == 'stranger' else certificate_name
    address = await serve(
        listener_context(write_certificate(signer, folder, ip)),
    )
    pool = ConnectionPool(caller_context(client_files))
    called = await request_json(pool, address, REQUEST, TIMEOUT_S)
    pool.close()
    if called.is_err():
        assert called.unwrap_err().step == 'connect'
    return called.is_ok()


def test_unusable_files_are_not_reloaded():
    """A reload from unusable files reports that nothing was reloaded."""
    with tempfile.TemporaryDirectory() as folder:
        files = write_certificate(make_authority(), Path(folder))
        listener = listener_context(files)
        state = CertificateState(files, (listener,))
        Path(files.private_key_path).write_text('half a key')
        assert not reload_if_changed(state)
        missing = CertificateFiles('none', 'none', 'none')
        assert not reload_if_changed(CertificateState(missing, ()))


async def serve(listener: ssl.SSLContext) -> Address:
    """Start a server that answers every request on a free local port."""

    async def answer(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(ANSWER)
        except (EOFError, ConnectionError, asyncio.CancelledError):
            writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0, ssl=listener)
    return Address(*server.sockets[0].getsockname())


async def request_certificate(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> bytes:
    """Send a request and return the certificate that the peer presented."""
    reader, writer = connection
    writer.write(b'GET / HTTP/1.1\r\nhost: any\r\n\r\n')
    assert await reader.readexactly(len(ANSWER)) == ANSWER
    presented = writer.get_extra_info('ssl_object').getpeercert(
        binary_form=True
    )
    return bytes(presented)
