"""What calls, answers and reports teach about a candidate."""

import math
from typing import Final

from carobmoor.routing._eject import judge, judge_trial
from carobmoor.routing._messages import CallEnd, LoadReport, Outcome
from carobmoor.routing._state import (
    CandidateState,
    RoutingState,
    ServiceState,
)

_SMOOTHING: Final = 0.15
_USUAL_SMOOTHING: Final = 0.02
_SHORTEST_S: Final = 0.0001
# One latency counts no more, so that few large requests make no straggler.
_MOST_PACE: Final = 8
_GOOD: Final = Outcome.SUCCEEDED


def call_started(
    state: RoutingState,
    known: CandidateState,
    now_s: float,
) -> int:
    """Count a call on its way to a candidate; gives the call's number."""
    state.calls_started += 1
    known.started_s[state.calls_started] = now_s
    return state.calls_started


def call_ended(
    state: RoutingState,
    service: str,
    known: CandidateState,
    number: int,
    end: CallEnd,
    now_s: float,
) -> None:
    """Learn from the end of a call; success counts before latency."""
    latency_s = now_s - known.started_s.pop(number, now_s)
    known_service = state.services.get(service)
    if known_service is None:
        return
    _note_outcome(known, end.outcome, now_s)
    pace: float | None = None
    if end.outcome in (_GOOD, Outcome.NEUTRAL):
        pace = _pace_of(known_service, end, latency_s)
        _note_pace(known, end, pace, latency_s, now_s)
    if end.outcome is not Outcome.NEUTRAL:
        judge_trial(known_service, known, pace, now_s)
    judge(state, known_service, known, now_s)


def note_report(
    state: RoutingState,
    service: str,
    known: CandidateState,
    report: LoadReport,
    now_s: float,
) -> None:
    """Keep the newest report of a candidate.

    A candidate with calls in flight is judged when one of them ends.
    """
    known.report = report
    known.reported_at_s = now_s
    at_owner = report.in_flight + report.queued
    known.others_in_flight = max(0, at_owner - known.own_in_flight)
    if report.is_leaving:
        known.is_leaving = True
    known_service = state.services.get(service)
    if known_service is not None and not known.own_in_flight:
        judge(state, known_service, known, now_s)


def _note_outcome(
    known: CandidateState,
    outcome: Outcome,
    now_s: float,
) -> None:
    if outcome is Outcome.UNREACHABLE:
        known.success.drop(now_s)
    elif outcome is not Outcome.NEUTRAL:
        known.success.note(outcome is _GOOD, now_s)


def _pace_of(service: ServiceState, end: CallEnd, latency_s: float) -> float:
    """Compare a latency with what is usual for its rank."""
    if not end.is_timed:
        return 1
    logged = math.log(max(_SHORTEST_S, latency_s))
    usual = service.usual_log_s.get(end.rank, logged)
    if end.outcome is _GOOD:
        moved = usual + _USUAL_SMOOTHING * (logged - usual)
        service.usual_log_s[end.rank] = moved
    return min(_MOST_PACE, math.exp(logged - usual))


def _note_pace(
    known: CandidateState,
    end: CallEnd,
    pace: float,
    latency_s: float,
    now_s: float,
) -> None:
    # A call that was given up would have taken longer still; one that was
    # given up early tells nothing.
    is_early = end.outcome is Outcome.NEUTRAL and pace <= known.pace
    if not end.is_timed or is_early:
        return
    if not known.latencies:
        known.latency_s = latency_s
        known.pace = pace
    known.latency_s += _SMOOTHING * (latency_s - known.latency_s)
    known.pace += _SMOOTHING * (pace - known.pace)
    known.latencies += 1
    known.latency_at_s = now_s
