"""Tests of the choice of an owner node."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.routing import (
    Candidate,
    ChoiceQuery,
    Outcome,
    RoutingPolicy,
    choose,
    keep_candidates,
    note_report,
)
from carobmoor.routing.tests.fixtures import (
    SERVICE,
    WELL,
    address,
    end_call,
    seeded,
    state_of,
)

SIX = 'hhrrff'
NUMBERS = st.integers(0, 5)
FAR_ONLY = RoutingPolicy(paid_link_bytes_per_s=1000)


@settings(derandomize=True, deadline=None)
@given(
    st.sets(NUMBERS),
    st.sets(NUMBERS),
    st.sets(NUMBERS),
    st.lists(
        st.tuples(NUMBERS, st.sampled_from(Outcome), st.floats(0, 9)),
        max_size=40,
    ),
    st.booleans(),
)
def test_tried_and_leaving_are_never_chosen(
    tried, leaving, suspect, ends, is_repeatable
):
    """Whatever calls and reports came before, and however few are left."""
    state = state_of(SIX)
    for number in leaving:
        known = state.find(SERVICE, address(number))
        report = WELL._replace(is_leaving=True)
        note_report(state, SERVICE, known, report, 0)
    now_s = 0
    for number, outcome, passed_s in ends:
        now_s += passed_s
        end_call(state, number, outcome, now_s)
    for number in suspect:
        known = state.find(SERVICE, address(number))
        known.candidate = known.candidate._replace(is_suspect=True)
    query = ChoiceQuery({address(one) for one in tried}, '', 0, is_repeatable)
    chosen = choose(state, SERVICE, query, now_s, seeded())
    closed = tried | leaving
    if chosen is None:
        assert closed == set(range(6))
    else:
        assert chosen.address.port not in closed


@params(
    ('hhrrff', {0, 1}),
    ('rrff', {0, 1}),
    ('ff', {0, 1}),
    ('hf', {0}),
)
def test_nearest_go_first(places, chosen):
    """An idle candidate in the zone, then the region, then elsewhere."""
    assert set(_draws(state_of(places))) == chosen


def test_full_zone_spills_into_the_region():
    """The same availability zone is preferred only while it has free slots."""
    state = state_of('hrf')
    known = state.find(SERVICE, address(0))
    note_report(state, SERVICE, known, WELL._replace(in_flight=9), 10)
    assert set(_draws(state)) == {1}


def test_stale_report_counts_for_nothing():
    """The load in a report that is older than its lifetime is ignored."""
    state = state_of('hrf')
    known = state.find(SERVICE, address(0))
    note_report(state, SERVICE, known, WELL._replace(in_flight=9), 9)
    assert set(_draws(state)) == {0}


@params(
    # No candidate in the region: the budget of the rank decides.
    ('ff', 500, True),
    ('ff', 5000, False),
    # A candidate in the region is chosen when the budget is spent.
    ('hf', 5000, True),
)
def test_paid_links_have_a_budget(places, request_bytes, is_chosen):
    """The bytes that a rank sends between regions are limited."""
    state = state_of(places, FAR_ONLY)
    query = ChoiceQuery((), 'upload', request_bytes)
    chosen = choose(state, SERVICE, query, 10, seeded())
    assert (chosen is not None) is is_chosen


def test_paid_budget_is_kept_over_time():
    """Over ten seconds no more is sent than the budget allows."""
    state = state_of('ff', FAR_ONLY)
    query = ChoiceQuery((), 'upload', 100)
    sent = sum(
        choose(state, SERVICE, query, at / 100, seeded()) is not None
        for at in range(1000)
    )
    assert sent <= (1000 + 10 * 1000) / 100


def test_paid_link_is_used_for_a_missed_target():
    """Another region is used if no candidate in this one meets the target."""
    policy = RoutingPolicy(target_s_by_rank={'urgent': 0.02, 'browse': 0.5})
    state = state_of('hhff', policy)
    for number in (0, 1):
        for at in range(5):
            end_call(state, number, Outcome.SUCCEEDED, at, latency_s=0.1)
    urgent = choose(state, SERVICE, ChoiceQuery((), 'urgent'), 5, seeded())
    browse = choose(state, SERVICE, ChoiceQuery((), 'browse'), 5, seeded())
    assert urgent.address.port in {2, 3}
    assert browse.address.port in {0, 1}


def test_call_may_be_kept_in_its_region():
    """Whatever the budget, and even if the region has no candidate."""
    query = ChoiceQuery(may_leave_region=False)
    assert choose(state_of('ff'), SERVICE, query, 10, seeded()) is None
    assert choose(state_of('rff'), SERVICE, query, 10, seeded())


def test_suspects_are_avoided_while_others_exist():
    """A suspected candidate is chosen only if no other is left."""
    state = state_of('hr')
    known = state.find(SERVICE, address(0))
    known.candidate = known.candidate._replace(is_suspect=True)
    assert set(_draws(state)) == {1}
    query = ChoiceQuery((address(1),))
    assert choose(state, SERVICE, query, 10, seeded()) is known


@params((0.5, 0.02, 0.08), (2.5, 0.1, 0.25), (9, 0.2, 0.3))
def test_new_candidate_ramps(after_s, least, most):
    """A candidate with a new incarnation starts with a small share."""
    state = state_of('rrrr')
    renewed = [
        known.candidate._replace(incarnation=int(known.address.port == 0))
        for known in state.of(SERVICE)
    ]
    keep_candidates(state, SERVICE, renewed, 10)
    drawn = Counter(_draws(state, 10 + after_s, 4000))
    assert least <= drawn[0] / 4000 <= most


def test_new_incarnation_has_not_left():
    """A node that left is a candidate again only with a new incarnation."""
    state = state_of('r')
    known = state.find(SERVICE, address(0))
    note_report(state, SERVICE, known, WELL._replace(is_leaving=True), 1)
    keep_candidates(state, SERVICE, [known.candidate], 2)
    assert choose(state, SERVICE, ChoiceQuery(), 3, seeded()) is None
    started = Candidate(address(0), 'lagos', 'lagos-b', incarnation=1)
    keep_candidates(state, SERVICE, [started], 4)
    assert choose(state, SERVICE, ChoiceQuery(), 5, seeded()) is not None


def _draws(state, now_s=10, count=40):
    rng = seeded()
    return [
        choose(state, SERVICE, ChoiceQuery(), now_s, rng).address.port
        for _ in range(count)
    ]
