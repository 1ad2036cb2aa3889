"""Burn rates, causes of bad answers and the merging of snapshots."""

from nose2.tools import params

from carobmoor.burn import (
    BurnState,
    Cause,
    Objective,
    Timing,
    attribute_failure,
    attribute_late_answer,
    calculate_rank_burn,
    merge_snapshots,
    record_answer,
    take_snapshots,
)
from carobmoor.outcomes import Code, NotRun, Unknown

GATE = Objective('gate', 'desk', 50, 0.99)
NOW_MIN = 1000
NOW_S = NOW_MIN * 60
LOCAL_BACKEND = '10.0.0.1:80'


def make_state(good: int, bad: int, ago_min: int = 0) -> BurnState:
    """Return a state with answers recorded in one minute."""
    state = BurnState()
    for _ in range(good):
        record_answer(state, 'gate', 'desk', 0.01, None, NOW_S - ago_min * 60)
    for _ in range(bad):
        cause = Cause.QUEUEING
        record_answer(state, 'gate', 'desk', 0.2, cause, NOW_S - ago_min * 60)
    return state


@params(
    (99, 1, 0, (1, 1, 1, 1)),
    (90, 10, 0, (10, 10, 10, 10)),
    (90, 10, 5, (0, 10, 10, 10)),
    (90, 10, 31, (0, 0, 10, 10)),
    (90, 10, 400, (0, 0, 0, 0)),
    (10, 0, 0, (0, 0, 0, 0)),
)
def test_window_counts_only_its_minutes(good, bad, ago_min, rates):
    """A window counts only the minutes that it covers."""
    snapshots = take_snapshots(make_state(good, bad, ago_min), (GATE,))
    burn = calculate_rank_burn(snapshots[0], NOW_MIN)
    burn_rates = tuple(round(window.burn_rate, 6) for window in burn.windows)
    assert burn_rates == rates


def test_merge_adds_up_counts_and_latencies():
    """Counts and latencies of two nodes are added up."""
    snapshots = [
        *take_snapshots(make_state(50, 0), (GATE,)),
        *take_snapshots(make_state(40, 10), (GATE,)),
    ]
    merged = merge_snapshots(snapshots)
    burn = calculate_rank_burn(merged[0], NOW_MIN)
    assert len(merged) == 1
    assert burn.windows[0].good == 90
    assert burn.bad_by_cause == {'queueing': 10}
    assert 9 < burn.p50_ms < 11
    assert 190 < burn.p99_ms < 210


def test_state_drops_minutes_beyond_six_hours():
    """Only the last 360 minutes are kept, so memory stays bounded."""
    state = BurnState()
    for minute in range(1000):
        record_answer(state, 'gate', 'desk', 0.01, None, minute * 60)
    assert len(take_snapshots(state, (GATE,))[0].minutes) == 360


@params(
    (Timing(1, 0.8, 0.1, 0.1), Cause.QUEUEING),
    (Timing(1, 0, 0.9, 0.1), Cause.STRAGGLER),
    (Timing(1, 0, 0.9, 0.5), Cause.BACKEND_SERVER),
    (Timing(1, 0.1, 0.1, 0.1), Cause.LINK),
)
def test_late_answer_has_cause_of_longest_part(timing, cause):
    """A late answer is attributed to where most of its time was spent."""
    assert attribute_late_answer(timing) is cause


@params(
    (NotRun(Code.BAD_REQUEST, 'read_request', ''), None),
    (NotRun(Code.QUEUE_FULL, 'admission', 'a:1'), Cause.QUEUEING),
    (NotRun(Code.LEAVING, 'admission', 'a:1'), Cause.REFUSAL),
    (NotRun(Code.NOT_SENT, 'connect', 'a:1'), Cause.LINK),
    (NotRun(Code.NOT_SENT, 'connect', LOCAL_BACKEND), Cause.BACKEND_SERVER),
    (Unknown('awaiting_answer', LOCAL_BACKEND), Cause.BACKEND_SERVER),
    (Unknown('awaiting_answer', 'a:1'), Cause.LINK),
)
def test_failure_has_cause_of_code_and_peer(failure, cause):
    """A failure is attributed by its code, step and peer."""
    assert attribute_failure(failure, LOCAL_BACKEND) is cause
