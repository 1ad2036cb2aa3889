"""Tests of the choice of an owner node."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.routing import (
    CallOutcome,
    Candidate,
    ChoiceQuery,
    RoutingPolicy,
    choose,
    record_report,
    replace_candidates,
)
from carobmoor.routing.tests.fixtures import (
    HEALTHY_REPORT,
    SERVICE,
    address,
    end_call,
    seeded_random,
    state_of,
)

TWO_PER_DISTANCE = 'hhrrff'
NUMBERS = st.integers(0, 5)
SMALL_BUDGET = RoutingPolicy(paid_link_bytes_per_s=1000)


@settings(derandomize=True, deadline=None)
@given(
    st.sets(NUMBERS),
    st.sets(NUMBERS),
    st.sets(NUMBERS),
    st.lists(
        st.tuples(NUMBERS, st.sampled_from(CallOutcome), st.floats(0, 9)),
        max_size=40,
    ),
    st.booleans(),
)
def test_tried_and_leaving_are_never_chosen(
    tried, leaving, suspect, ends, is_repeatable
):
    """This holds for any earlier calls and reports, however few are left."""
    state = state_of(TWO_PER_DISTANCE)
    for number in leaving:
        candidate = state.find_candidate(SERVICE, address(number))
        report = HEALTHY_REPORT._replace(is_leaving=True)
        record_report(state, SERVICE, candidate, report, 0)
    now_s = 0
    for number, outcome, elapsed_s in ends:
        now_s += elapsed_s
        end_call(state, number, outcome, now_s)
    for number in suspect:
        candidate = state.find_candidate(SERVICE, address(number))
        candidate.node = candidate.node._replace(is_suspect=True)
    query = ChoiceQuery({address(one) for one in tried}, '', 0, is_repeatable)
    chosen = choose(state, SERVICE, query, now_s, seeded_random())
    excluded = tried | leaving
    if chosen is None:
        assert excluded == set(range(6))
    else:
        assert chosen.address.port not in excluded


@params(
    ('hhrrff', {0, 1}),
    ('rrff', {0, 1}),
    ('ff', {0, 1}),
    ('hf', {0}),
)
def test_nearest_candidates_are_chosen_first(letters, chosen):
    """An idle candidate in the zone, then the region, then elsewhere."""
    assert set(_choose_repeatedly(state_of(letters))) == chosen


def test_full_zone_spills_over_into_region():
    """The same availability zone is preferred only while it has free slots."""
    state = state_of('hrf')
    candidate = state.find_candidate(SERVICE, address(0))
    record_report(
        state, SERVICE, candidate, HEALTHY_REPORT._replace(in_flight=9), 10
    )
    assert set(_choose_repeatedly(state)) == {1}


def test_load_of_stale_report_is_ignored():
    """The load in a report that is older than its lifetime is ignored."""
    state = state_of('hrf')
    candidate = state.find_candidate(SERVICE, address(0))
    record_report(
        state, SERVICE, candidate, HEALTHY_REPORT._replace(in_flight=9), 9
    )
    assert set(_choose_repeatedly(state)) == {0}


@params(
    # No candidate in the region: the budget of the rank decides.
    ('ff', 500, True),
    ('ff', 5000, False),
    # A candidate in the region is chosen when the budget is spent.
    ('hf', 5000, True),
)
def test_paid_link_is_refused_beyond_budget(letters, request_bytes, is_chosen):
    """The bytes that a rank sends between regions are limited."""
    state = state_of(letters, SMALL_BUDGET)
    query = ChoiceQuery((), 'upload', request_bytes)
    chosen = choose(state, SERVICE, query, 10, seeded_random())
    assert (chosen is not None) is is_chosen


def test_paid_link_budget_holds_over_time():
    """Over ten seconds no more is sent than the budget allows."""
    state = state_of('ff', SMALL_BUDGET)
    query = ChoiceQuery((), 'upload', 100)
    sent = sum(
        choose(state, SERVICE, query, at / 100, seeded_random()) is not None
        for at in range(1000)
    )
    assert sent <= (1000 + 10 * 1000) / 100


def test_paid_link_is_used_for_missed_target():
    """Another region is used if no candidate in this one meets the target."""
    policy = RoutingPolicy(target_s_by_rank={'urgent': 0.02, 'browse': 0.5})
    state = state_of('hhff', policy)
    for number in (0, 1):
        for at in range(5):
            end_call(state, number, CallOutcome.SUCCEEDED, at, latency_s=0.1)
    urgent = choose(
        state, SERVICE, ChoiceQuery((), 'urgent'), 5, seeded_random()
    )
    browse = choose(
        state, SERVICE, ChoiceQuery((), 'browse'), 5, seeded_random()
    )
    assert urgent.address.port in {2, 3}
    assert browse.address.port in {0, 1}


def test_call_stays_in_region_if_required():
    """A call kept in its region never leaves it, even for lack of candidates.

    The budget for links between regions does not matter then.
    """
    query = ChoiceQuery(may_leave_region=False)
    assert choose(state_of('ff'), SERVICE, query, 10, seeded_random()) is None
    assert choose(state_of('rff'), SERVICE, query, 10, seeded_random())


def test_suspects_are_chosen_last():
    """A suspected candidate is chosen only if no other is left."""
    state = state_of('hr')
    candidate = state.find_candidate(SERVICE, address(0))
    candidate.node = candidate.node._replace(is_suspect=True)
    assert set(_choose_repeatedly(state)) == {1}
    query = ChoiceQuery((address(1),))
    assert choose(state, SERVICE, query, 10, seeded_random()) is candidate


@params((0.5, 0.02, 0.08), (2.5, 0.1, 0.25), (9, 0.2, 0.3))
def test_restarted_candidate_ramps_up(after_s, min_share, max_share):
    """A candidate with a new incarnation starts with a small share."""
    state = state_of('rrrr')
    restarted = [
        candidate.node._replace(incarnation=int(candidate.address.port == 0))
        for candidate in state.candidates_of(SERVICE)
    ]
    replace_candidates(state, SERVICE, restarted, 10)
    chosen_counts = Counter(_choose_repeatedly(state, 10 + after_s, 4000))
    assert min_share <= chosen_counts[0] / 4000 <= max_share


def test_left_node_returns_with_new_incarnation():
    """A node that left is a candidate again only with a new incarnation."""
    state = state_of('r')
    candidate = state.find_candidate(SERVICE, address(0))
    record_report(
        state, SERVICE, candidate, HEALTHY_REPORT._replace(is_leaving=True), 1
    )
    replace_candidates(state, SERVICE, [candidate.node], 2)
    assert choose(state, SERVICE, ChoiceQuery(), 3, seeded_random()) is None
    started = Candidate(address(0), 'lagos', 'lagos-b', incarnation=1)
    replace_candidates(state, SERVICE, [started], 4)
    assert choose(state, SERVICE, ChoiceQuery(), 5, seeded_random()) is not None


def _choose_repeatedly(state, now_s=10, count=40):
    rng = seeded_random()
    return [
        choose(state, SERVICE, ChoiceQuery(), now_s, rng).address.port
        for _ in range(count)
    ]
