"""Malformed requests are rejected before they reach a backend server."""

import asyncio
from typing import Final, NamedTuple

from nose2.tools import params

from carobmoor.mesh.tests.fixtures import HOST, LIMITS, Mesh, NodeWithServer
from carobmoor.mesh.tests.test_membership import run

OK: Final = b'200'
_TIMEOUT_S: Final = 3
_MAX_HEAD_BYTES: Final = 65_536
_HOST: Final = b'host: ' + HOST.encode() + b'\r\n'
_NAMED: Final = _HOST + b'x-id: m-1\r\nx-deadline-ms: 900\r\n'
_POST: Final = b'POST /post/1 HTTP/1.1\r\n' + _NAMED
_GET: Final = b'GET /get/1 HTTP/1.1\r\n' + _NAMED
# A second request hidden in the body of the first (request smuggling).
_HIDDEN: Final = b'GET /get/hidden HTTP/1.1\r\n' + _NAMED + b'\r\n'


class Malformed(NamedTuple):
    """The bytes sent and the statuses that are accepted for them."""

    name: str
    sent: bytes
    statuses: tuple[bytes, ...] = (b'400',)


CASES = (
    Malformed('no HTTP', b'no http at all\r\n\r\n'),
    # May be parsed as an HTTP/0.9 request, which has no host.
    Malformed('no version', b'GET /get/1\r\n\r\n', (b'400', b'404')),
    Malformed('unknown method', b'FETCH /get/1 HTTP/1.1\r\n\r\n'),
    Malformed('space in a name', _GET + b'x y: 1\r\n\r\n'),
    Malformed('no colon', _GET + b'nothing\r\n\r\n'),
    Malformed('control character', _GET + b'x: a\x00b\r\n\r\n'),
    Malformed(
        'two lengths',
        _POST + b'content-length: 3\r\ncontent-length: 4\r\n\r\nabcd',
    ),
    Malformed('length no number', _POST + b'content-length: 1x\r\n\r\na'),
    Malformed('length negative', _POST + b'content-length: -1\r\n\r\na'),
    Malformed(
        'length and chunks',
        _POST
        + b'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'
        + _HIDDEN,
    ),
    Malformed(
        'unknown coding',
        _POST + b'transfer-encoding: chunked, odd\r\n\r\n0\r\n\r\n' + _HIDDEN,
    ),
    Malformed(
        'chunk size no number',
        _POST + b'transfer-encoding: chunked\r\n\r\nxyz\r\nabc\r\n',
        (b'400', b''),
    ),
    Malformed(
        'head too large',
        _GET + b'x: ' + b'y' * LIMITS.max_header_bytes + b'\r\n\r\n',
        (b'431',),
    ),
    Malformed(
        'body too large',
        _POST + b'content-length: %d\r\n\r\n' % (LIMITS.max_body_bytes + 1),
        (b'413',),
    ),
    Malformed('no id', b'GET /get/1 HTTP/1.1\r\n' + _HOST + b'\r\n'),
    Malformed('no host', b'GET /get/1 HTTP/1.1\r\nx-id: 1\r\n\r\n', (b'404',)),
    Malformed(
        'no route',
        b'GET /none HTTP/1.1\r\n' + _NAMED + b'\r\n',
        (b'404',),
    ),
)


@params(*CASES)
def test_malformed_request_is_rejected(name, sent, statuses):
    """A malformed request gets its status and the next one is served.

    Guards against requests that servers and proxies read differently, and
    against a listener that stops working after one of them.
    """

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        answer = await _exchange(pair, sent)
        status = answer.split(b' ')[1] if answer else b''
        assert status in statuses, (name, answer)
        assert not pair.backend.received_requests, name
        good = await _exchange(pair, _GET + b'connection: close\r\n\r\n')
        assert good.split(b' ')[1] == OK, good
        assert len(pair.backend.received_requests) == 1

    run(check, 1)


async def _exchange(pair: NodeWithServer, sent: bytes) -> bytes:
    """Send bytes as a caller and return the head of the answer.

    Returns nothing if the connection is reset or there is no answer in time.
    """
    address = pair.node.settings.caller_address
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(sent)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await reader.read(_MAX_HEAD_BYTES)
    except (ConnectionResetError, TimeoutError):
        return b''
    finally:
        writer.close()
