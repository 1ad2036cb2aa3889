"""Guards against a load report of a peer that makes the choice fail."""

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from carobmoor.routing import (
    Candidate,
    ChoiceQuery,
    RoutingState,
    choose,
    decode_report,
    record_report,
    replace_candidates,
)
from carobmoor.transport import Address

NUMBERS = st.integers(-(2**63), 2**63 - 1) | st.integers(-2, 2)
REPORTS = st.tuples(NUMBERS, NUMBERS, NUMBERS, NUMBERS, st.booleans())
CANDIDATES = [
    Candidate(Address('10.0.0.1', port), 'lagos', 'lagos-a') for port in (1, 2)
]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.text(max_size=80)
    | REPORTS.map(lambda report: msgspec.json.encode(report).decode()),
)
def test_choice_survives_any_report(content):
    """Invalid reports are dropped, and an owner node is still chosen."""
    state = RoutingState('lagos', 'lagos-a')
    replace_candidates(state, 'bookings', CANDIDATES)
    report = decode_report(content)
    for candidate in state.candidates_of('bookings'):
        if report is not None:
            assert report.slots > 0
            record_report(state, 'bookings', candidate, report, 1)
    chosen = choose(state, 'bookings', ChoiceQuery(), 1, random.Random(1))
    is_leaving = report is not None and report.is_leaving
    assert (chosen is None) == is_leaving
