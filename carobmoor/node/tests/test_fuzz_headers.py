"""Guards against exceptions of the header parser on arbitrary input.

Headers come from callers and may hold any bytes, lengths and numbers.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from carobmoor.client import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
)
from carobmoor.node._context import parse_context
from carobmoor.outcomes import Code
from carobmoor.tickets import TICKET_HEADER

NAMES = (
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
    TICKET_HEADER,
    b'content-length',
    b'transfer-encoding',
)
CONTENTS = st.one_of(
    st.binary(max_size=200),
    st.integers().map(lambda number: str(number).encode()),
    st.text(max_size=200).map(str.encode),
    st.sampled_from((b'', b'[]', b'["a","b",1,0,"c"]', b'9' * 5000)),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(NAMES), CONTENTS), max_size=8),
    st.binary(max_size=40),
    st.binary(max_size=40),
)
def test_arbitrary_headers_are_read_or_refused(headers, path, query):
    """Accepted values are within their limits; all else is refused."""
    scope = {
        'headers': headers,
        'raw_path': path,
        'query_string': query,
        'method': 'POST',
    }
    parsed = parse_context(scope, 'here:1')
    if isinstance(parsed, Ok):
        context = parsed.ok_value
        assert len(context.request_id) <= 128
        assert len(context.service) <= 128
        assert 0 <= context.depth <= 64
        assert 0 <= context.deadline_ms <= 86_400_000
    else:
        assert parsed.err_value.code in {Code.BAD_REQUEST, Code.TICKET_REFUSED}
