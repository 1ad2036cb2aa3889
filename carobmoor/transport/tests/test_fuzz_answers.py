"""Fuzz tests of the client connection's parsing of answers.

They guard against exceptions in the event loop's callbacks, truncated answers
that pass for complete ones, and surplus bytes that the next request on the
connection takes for its answer.
"""

import asyncio
from unittest.mock import MagicMock

from hypothesis import given, settings
from hypothesis import strategies as st

from carobmoor.transport import Connection, Step

COMPLETE_ANSWERS = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx: y\r\n\r\nwhole',
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n',
)
FUZZ_SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)
FRAGMENTS = st.one_of(
    st.binary(max_size=64),
    st.sampled_from(
        (
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 101 Up\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
            b'content-length: 3\r\n',
            b'content-length: 99999999999999999999\r\n',
            b'transfer-encoding: chunked\r\n',
            b'\r\n',
            b'3\r\nabc\r\n',
            b'0\r\n\r\n',
            *COMPLETE_ANSWERS,
        ),
    ),
)


def connection_with_request() -> tuple[Connection, MagicMock]:
    """Create a connection on which a request was written."""
    connection = Connection('peer')
    transport = MagicMock()
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    transport.abort.side_effect = lambda: setattr(
        transport.is_closing,
        'return_value',
        True,
    )
    connection.connection_made(transport)
    connection.start_request()
    connection.write(b'GET / HTTP/1.1\r\n\r\n', Step.AWAITING_ANSWER)
    return connection, transport


@FUZZ_SETTINGS
@given(st.lists(FRAGMENTS, max_size=12))
def test_arbitrary_bytes_do_not_raise(fragments):
    """Arbitrary bytes are parsed or close the connection."""
    connection, transport = connection_with_request()
    for fragment in fragments:
        if not transport.is_closing():
            connection.data_received(fragment)


@FUZZ_SETTINGS
@given(st.sampled_from(COMPLETE_ANSWERS), st.data())
def test_partial_answer_is_not_complete(answer, data_source):
    """Only its last byte completes an answer, however it is split."""
    cuts = data_source.draw(st.lists(st.integers(0, len(answer)), max_size=5))
    connection, _ = connection_with_request()
    edges = sorted({0, *cuts, len(answer)})
    for start, end in zip(edges, edges[1:], strict=False):
        assert not connection.is_answer_complete
        connection.data_received(answer[start:end])
    assert connection.is_answer_complete
    body = b''.join(iter(lambda: asyncio.run(connection.read_chunk()), b''))
    assert body == (b'' if b'204' in answer else b'whole')
    assert connection.is_reusable


@FUZZ_SETTINGS
@given(st.binary(min_size=1, max_size=32), st.sampled_from(COMPLETE_ANSWERS))
def test_surplus_bytes_prevent_reuse(surplus, answer):
    """A connection with surplus bytes is not reused."""
    connection, _ = connection_with_request()
    connection.data_received(answer)
    connection.data_received(surplus)
    assert not connection.is_reusable
