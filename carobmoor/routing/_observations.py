"""Recording the calls to a candidate, and its load reports."""

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
# Caps the weight of one latency, so that a few large requests do not make a
# candidate look slow.
_MOST_PACE: Final = 8
_GOOD: Final = Outcome.SUCCEEDED


def call_started(
    state: RoutingState,
    known: CandidateState,
    now_s: float,
) -> int:
    """Record the start of a call to a candidate; return the call's number."""
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
    """Record the end of a call; ignore the latency of a failed one."""
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
    """Record the latest report of a candidate.

    A candidate without own calls in flight may be ejected for it at once,
    another one when the next of these calls ends.
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
    """Return a latency relative to the typical one of its rank.

    A successful call moves the typical latency.
    """
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
    # A cancelled call would have taken even longer, so its latency counts if
    # it is above the smoothed one; a call cancelled earlier proves nothing.
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
