"""Tests of ejection, trials and readmission."""

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.routing import (
    CallOutcome,
    ChoiceQuery,
    choose,
    max_ejected,
    record_report,
)
from carobmoor.routing.tests.fixtures import (
    HEALTHY_REPORT,
    SERVICE,
    address,
    end_call,
    seeded_random,
    state_of,
)

REPEATABLE = ChoiceQuery(is_repeatable=True)


@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 9),
    st.lists(
        st.tuples(
            st.integers(0, 8),
            st.sampled_from(CallOutcome),
            st.floats(0.001, 5),
            st.integers(0, 1000),
        ),
        max_size=120,
    ),
)
def test_ejected_share_is_bounded(count, events):
    """Whatever fails or is slow, most of the candidates stay."""
    state = state_of('r' * count)
    now_s = 0
    for number, outcome, latency_s, permille in events:
        now_s += 0.01
        candidate = state.find_candidate(SERVICE, address(number % count))
        report = HEALTHY_REPORT._replace(success_permille=permille)
        record_report(state, SERVICE, candidate, report, now_s)
        end_call(state, number % count, outcome, now_s, latency_s)
        ejected = sum(
            candidate.ejection is not None
            for candidate in state.candidates_of(SERVICE)
        )
        assert ejected <= max_ejected(state, count) < count


@params((1, 0), (2, 1), (3, 1), (6, 2), (9, 3))
def test_max_ejected_is_a_third(candidate_count, max_count):
    """A third, but at least one and never all."""
    assert max_ejected(state_of('r'), candidate_count) == max_count


@params(
    (CallOutcome.FAILED, 0.001, True),
    (CallOutcome.UNREACHABLE, 0.001, True),
    # As fast as a failure, but healthy.
    (CallOutcome.SUCCEEDED, 0.001, False),
    (CallOutcome.SUCCEEDED, 0.1, True),
    # Cancelled late, as after a hedge: slow. Cancelled early: unknown.
    (CallOutcome.NEUTRAL, 0.1, True),
    (CallOutcome.NEUTRAL, 0.001, False),
)
def test_failing_or_slow_candidates_are_ejected(outcome, latency_s, is_ejected):
    """Success counts before latency; latency is compared with the peers."""
    state = _served_state()
    for at in range(12):
        end_call(state, 0, outcome, 1 + at / 100, latency_s)
    candidate = state.find_candidate(SERVICE, address(0))
    assert (candidate.ejection is not None) is is_ejected


def test_failure_of_all_candidates_ejects_none():
    """Failures that all candidates share must not eject any of them."""
    state = state_of('rrrrrr')
    for at in range(100):
        end_call(state, at % 6, CallOutcome.FAILED, at / 100)
    assert not any(
        candidate.ejection for candidate in state.candidates_of(SERVICE)
    )


def test_few_large_requests_do_not_eject():
    """A few large requests must not eject the candidate that ran them."""
    state = _served_state()
    for latency_s in (5, 5):
        end_call(state, 0, CallOutcome.SUCCEEDED, 1, latency_s)
    assert state.find_candidate(SERVICE, address(0)).ejection is None


def test_reported_failures_eject():
    """One report ejects a failing candidate before an own call fails."""
    state = _served_state()
    candidate = state.find_candidate(SERVICE, address(0))
    report = HEALTHY_REPORT._replace(success_permille=100)
    record_report(state, SERVICE, candidate, report, 1)
    assert candidate.ejection is not None


def test_one_call_in_a_hundred_is_a_trial():
    """An ejected candidate gets at most one call in a hundred."""
    state = _failed_state()
    assert _calls_to_ejected(state, REPEATABLE, calls=3000) in range(10, 31)


def test_repeatable_calls_are_preferred_as_trials():
    """While repeatable calls come in, only these are used as trials."""
    state = _failed_state()
    rng = seeded_random()
    for at in range(1000):
        now_s = 2 + at / 100
        choose(
            state,
            SERVICE,
            REPEATABLE._replace(tried=_ALL_ADDRESSES),
            now_s,
            rng,
        )
        chosen = choose(state, SERVICE, ChoiceQuery(), now_s, rng)
        assert chosen.address.port


def test_trials_go_on_without_repeatable_calls():
    """If no call is repeatable, another one becomes a trial after a while."""
    state = _failed_state()
    assert _calls_to_ejected(state, ChoiceQuery(), calls=3000) > 0


def test_reported_failure_replaces_trial():
    """A report of a recent failure replaces the trial."""
    state = _failed_state()
    candidate = state.find_candidate(SERVICE, address(0))
    rng = seeded_random()
    for at in range(1000):
        now_s = 2 + at / 100
        report = HEALTHY_REPORT._replace(
            success_permille=100, outcome_age_ms=20
        )
        record_report(state, SERVICE, candidate, report, now_s)
        chosen = choose(state, SERVICE, REPEATABLE, now_s, rng)
        assert chosen is not candidate


def test_successful_trial_readmits():
    """One successful trial readmits a candidate that was failing."""
    state = _failed_state()
    end_call(state, 0, CallOutcome.SUCCEEDED, 5)
    assert state.find_candidate(SERVICE, address(0)).ejection is None


_ALL_ADDRESSES = frozenset(address(one) for one in range(6))


def _served_state():
    state = state_of('rrrrrr')
    for at in range(60):
        end_call(state, at % 6, CallOutcome.SUCCEEDED, at / 100)
    return state


def _failed_state():
    state = _served_state()
    for at in range(5):
        end_call(state, 0, CallOutcome.FAILED, 1 + at / 100)
    assert state.find_candidate(SERVICE, address(0)).ejection is not None
    return state


def _calls_to_ejected(state, query, calls):
    rng = seeded_random()
    chosen = [
        choose(state, SERVICE, query, 2 + at / 100, rng).address.port
        for at in range(calls)
    ]
    return chosen.count(0)
