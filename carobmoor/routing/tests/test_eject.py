"""Tests of ejection, trials and readmission."""

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.routing import (
    ChoiceQuery,
    Outcome,
    choose,
    most_ejected,
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

REPEATABLE = ChoiceQuery(is_repeatable=True)


@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 9),
    st.lists(
        st.tuples(
            st.integers(0, 8),
            st.sampled_from(Outcome),
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
        known = state.find(SERVICE, address(number % count))
        report = WELL._replace(success_permille=permille)
        note_report(state, SERVICE, known, report, now_s)
        end_call(state, number % count, outcome, now_s, latency_s)
        ejected = sum(one.ejection is not None for one in state.of(SERVICE))
        assert ejected <= most_ejected(state, count) < count


@params((1, 0), (2, 1), (3, 1), (6, 2), (9, 3))
def test_most_ejected(candidates, most):
    """A third, but at least one and never all."""
    assert most_ejected(state_of('r'), candidates) == most


@params(
    (Outcome.FAILED, 0.001, True),
    (Outcome.UNREACHABLE, 0.001, True),
    # As fast as a failure, but healthy.
    (Outcome.SUCCEEDED, 0.001, False),
    (Outcome.SUCCEEDED, 0.1, True),
    # Cancelled late, as after a hedge: slow. Cancelled early: unknown.
    (Outcome.NEUTRAL, 0.1, True),
    (Outcome.NEUTRAL, 0.001, False),
)
def test_failing_and_slow_are_ejected(outcome, latency_s, is_ejected):
    """Success counts before latency; latency is compared with the peers."""
    state = _served_state()
    for at in range(12):
        end_call(state, 0, outcome, 1 + at / 100, latency_s)
    known = state.find(SERVICE, address(0))
    assert (known.ejection is not None) is is_ejected


def test_all_slow_or_all_failing_ejects_nobody():
    """A fault that all candidates share must not eject any of them."""
    state = state_of('rrrrrr')
    for at in range(100):
        end_call(state, at % 6, Outcome.FAILED, at / 100)
    assert not any(known.ejection for known in state.of(SERVICE))


def test_large_requests_make_no_straggler():
    """A few large requests must not eject the candidate that ran them."""
    state = _served_state()
    for latency_s in (5, 5):
        end_call(state, 0, Outcome.SUCCEEDED, 1, latency_s)
    assert state.find(SERVICE, address(0)).ejection is None


def test_owner_tells_of_failures_seen_by_others():
    """One report ejects a failing candidate before an own call fails."""
    state = _served_state()
    known = state.find(SERVICE, address(0))
    report = WELL._replace(success_permille=100)
    note_report(state, SERVICE, known, report, 1)
    assert known.ejection is not None


def test_trials_trickle():
    """An ejected candidate gets at most one call in a hundred."""
    state = _failed_state()
    assert _calls_to_ejected(state, REPEATABLE, calls=3000) in range(10, 31)


def test_unrepeatable_calls_are_spared_trials():
    """While repeatable calls come in, only these are used as trials."""
    state = _failed_state()
    rng = seeded()
    for at in range(1000):
        now_s = 2 + at / 100
        choose(state, SERVICE, REPEATABLE._replace(tried=_ALL), now_s, rng)
        chosen = choose(state, SERVICE, ChoiceQuery(), now_s, rng)
        assert chosen.address.port


def test_trials_go_on_without_repeatable_calls():
    """If no call is repeatable, another one becomes a trial after a while."""
    state = _failed_state()
    assert _calls_to_ejected(state, ChoiceQuery(), calls=3000) > 0


def test_trial_of_others_stands_for_an_own_one():
    """A report of a recent failure replaces the trial."""
    state = _failed_state()
    known = state.find(SERVICE, address(0))
    rng = seeded()
    for at in range(1000):
        now_s = 2 + at / 100
        report = WELL._replace(success_permille=100, outcome_age_ms=20)
        note_report(state, SERVICE, known, report, now_s)
        chosen = choose(state, SERVICE, REPEATABLE, now_s, rng)
        assert chosen is not known


def test_good_trial_brings_back():
    """One successful trial readmits a candidate that was failing."""
    state = _failed_state()
    end_call(state, 0, Outcome.SUCCEEDED, 5)
    assert state.find(SERVICE, address(0)).ejection is None


_ALL = frozenset(address(one) for one in range(6))


def _served_state():
    state = state_of('rrrrrr')
    for at in range(60):
        end_call(state, at % 6, Outcome.SUCCEEDED, at / 100)
    return state


def _failed_state():
    state = _served_state()
    for at in range(5):
        end_call(state, 0, Outcome.FAILED, 1 + at / 100)
    assert state.find(SERVICE, address(0)).ejection is not None
    return state


def _calls_to_ejected(state, query, calls):
    rng = seeded()
    chosen = [
        choose(state, SERVICE, query, 2 + at / 100, rng).address.port
        for at in range(calls)
    ]
    return chosen.count(0)
