"""Answers with a status that HTTP does not have."""

from nose2.tools import params

from carobmoor.transport.tests.test_fuzz_answers import connection_with_request

WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone'
BODY = b'content-length: 4\r\n\r\njunk'


# Guards against an answer with a status such as 000, whose body was put before
# the body of the next answer, and which let its caller wait until the deadline.
@params(
    b'HTTP/1.1 000 X\r\n' + BODY,
    b'HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n',
    b'HTTP/1.1 000 X\r\n\r\n',
    b'HTTP/1.1 099 X\r\n' + BODY,
    b'HTTP/1.1 600 X\r\n' + BODY,
    b'HTTP/1.1 999 X\r\ncontent-length: 0\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n' + BODY,
    b'HTTP/1.1 103 Hints\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n',
)
def test_answer_without_status_is_malformed(received):
    """The connection closes at once, and nothing counts as an answer."""
    connection, transport = connection_with_request()
    connection.data_received(received + WHOLE)
    assert transport.is_closing()
    assert connection.close_reason.startswith('malformed answer')
    assert not connection.is_answer_complete


def test_informational_answer_is_skipped():
    """One without a body precedes the answer and leaves nothing behind."""
    connection, transport = connection_with_request()
    connection.data_received(b'HTTP/1.1 103 Hints\r\nx: y\r\n\r\n' + WHOLE)
    assert not transport.is_closing()
    assert connection.is_answer_complete
