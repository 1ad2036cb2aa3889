"""Guards against reading more from a failure response than it proves."""

from hypothesis import given, settings
from hypothesis import strategies as st

from carobmoor.outcomes import (
    Code,
    NotRun,
    Unknown,
    decode_failure,
    encode_failure,
)

BOUNDED = settings(derandomize=True, max_examples=300, deadline=None)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ('outcome', 'code', 'step', 'peer', 'detail', 'request_id'),
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


@BOUNDED
@given(
    st.binary(max_size=200) | JSON.map(lambda document: repr(document).encode())
)
def test_invalid_document_is_unknown(body):
    """Anything but a valid failure document leaves the outcome unknown."""
    assert isinstance(decode_failure(body, 'id', 'peer'), Unknown)


@BOUNDED
@given(
    st.sampled_from(Code),
    st.text(max_size=20),
    st.text(max_size=20),
    st.text(max_size=20),
)
def test_only_own_failure_proves_not_run(code, step, request_id, echoed_id):
    """A failure of another request proves nothing about this one.

    The one that a leaving node sends on an idle connection names no request.
    """
    body = encode_failure(NotRun(code, step, 'peer'), echoed_id)
    decoded = decode_failure(body, request_id, 'peer')
    is_own = request_id == echoed_id or (not echoed_id and code is Code.LEAVING)
    assert isinstance(decoded, NotRun) == is_own


@BOUNDED
@given(st.integers(0, 200))
def test_truncated_document_is_unknown(length):
    """A failure document that was cut off proves nothing."""
    body = encode_failure(NotRun(Code.LEAVING, 'admission', 'peer'), 'id')
    if length < len(body):
        assert isinstance(decode_failure(body[:length], 'id', 'p'), Unknown)
