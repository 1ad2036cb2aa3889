"""Tests of the call context that a backend server passes on."""

from nose2.tools import params

from carobmoor.client import Call, read_call_context

CALL = Call('payments', 'POST', '/deposits')
CHAIN = (
    (b'x-carobmoor-rank', b'urgent'),
    (b'x-carobmoor-depth', b'3'),
    (b'x-carobmoor-deadline-ms', b'500'),
    (b'x-carobmoor-attempt', b'2'),
    (b'x-carobmoor-retries-left', b'1'),
)


def test_child_call_inherits_context():
    """A child call inherits rank, attempt, deadline and retries left."""
    child = read_call_context(CHAIN).child(CALL)
    assert (child.rank, child.depth) == ('urgent', 4)
    assert (child.attempt, child.retries_left) == (2, 1)
    assert child.timeout_ms <= 500


def test_child_call_overrides_context():
    """A rank, shorter timeout or fewer retries of the call take precedence."""
    call = CALL._replace(rank='upload', timeout_ms=10, retries_left=0)
    child = read_call_context(CHAIN).child(call)
    assert (child.rank, child.timeout_ms) == ('upload', 10)
    assert child.retries_left == 0


@params((), ((b'x-carobmoor-depth', b'no number'),))
def test_missing_or_invalid_headers_start_a_chain(*headers):
    """A request without headers, or with an invalid one, starts a chain."""
    child = read_call_context(headers).child(CALL)
    assert child == CALL._replace(depth=1)


def test_expired_deadline_gives_zero_timeout():
    """After the deadline of the chain the timeout of a child call is 0."""
    expired = ((b'x-carobmoor-deadline-ms', b'0'),)
    assert read_call_context(expired).child(CALL).timeout_ms == 0
