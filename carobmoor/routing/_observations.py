"""Recording the calls to a candidate, and its load reports."""

import math
from typing import Final

from carobmoor.routing._eject import eject_if_outlier, record_trial
from carobmoor.routing._messages import CallOutcome, CallResult, LoadReport
from carobmoor.routing._state import (
    CandidateState,
    RoutingState,
    ServiceState,
)

_LATENCY_SMOOTHING: Final = 0.15
_TYPICAL_SMOOTHING: Final = 0.02
_MIN_LATENCY_S: Final = 0.0001
# Caps the weight of one latency, so that a few large requests do not make a
# candidate look slow.
_MAX_LATENCY_RATIO: Final = 8
_SUCCEEDED: Final = CallOutcome.SUCCEEDED


def record_call_start(
    state: RoutingState,
    candidate: CandidateState,
    now_s: float,
) -> int:
    """Record the start of a call to a candidate; return the call's number."""
    state.calls_started += 1
    candidate.started_s[state.calls_started] = now_s
    return state.calls_started


def record_call_end(
    state: RoutingState,
    service: str,
    candidate: CandidateState,
    call_number: int,
    end: CallResult,
    now_s: float,
) -> None:
    """Record the end of a call; ignore the latency of a failed one."""
    latency_s = now_s - candidate.started_s.pop(call_number, now_s)
    service_state = state.services.get(service)
    if service_state is None:
        return
    _record_outcome(candidate, end.outcome, now_s)
    latency_ratio: float | None = None
    if end.outcome in (_SUCCEEDED, CallOutcome.NEUTRAL):
        latency_ratio = _compare_latency(service_state, end, latency_s)
        _record_latency(candidate, end, latency_ratio, latency_s, now_s)
    if end.outcome is not CallOutcome.NEUTRAL:
        record_trial(service_state, candidate, latency_ratio, now_s)
    eject_if_outlier(state, service_state, candidate, now_s)


def record_report(
    state: RoutingState,
    service: str,
    candidate: CandidateState,
    report: LoadReport,
    now_s: float,
) -> None:
    """Record the latest report of a candidate.

    A candidate without own calls in flight may be ejected for it at once,
    another one when the next of these calls ends.
    """
    candidate.report = report
    candidate.reported_at_s = now_s
    at_owner = report.in_flight + report.queued
    candidate.others_in_flight = max(0, at_owner - candidate.own_in_flight)
    if report.is_leaving:
        candidate.is_leaving = True
    service_state = state.services.get(service)
    if service_state is not None and not candidate.own_in_flight:
        eject_if_outlier(state, service_state, candidate, now_s)


def _record_outcome(
    candidate: CandidateState,
    outcome: CallOutcome,
    now_s: float,
) -> None:
    if outcome is CallOutcome.UNREACHABLE:
        candidate.success.drop_to_zero(now_s)
    elif outcome is not CallOutcome.NEUTRAL:
        candidate.success.record_outcome(outcome is _SUCCEEDED, now_s)


def _compare_latency(
    service: ServiceState, end: CallResult, latency_s: float
) -> float:
    """Return a latency relative to the typical one of its rank.

    A successful call moves the typical latency.
    """
    if not end.is_timed:
        return 1
    log_latency = math.log(max(_MIN_LATENCY_S, latency_s))
    typical = service.typical_log_latency_s.get(end.rank, log_latency)
    if end.outcome is _SUCCEEDED:
        updated = typical + _TYPICAL_SMOOTHING * (log_latency - typical)
        service.typical_log_latency_s[end.rank] = updated
    return min(_MAX_LATENCY_RATIO, math.exp(log_latency - typical))


def _record_latency(
    candidate: CandidateState,
    end: CallResult,
    latency_ratio: float,
    latency_s: float,
    now_s: float,
) -> None:
    # A cancelled call would have taken even longer, so its latency counts if
    # it is above the smoothed one; a call cancelled earlier proves nothing.
    is_early = (
        end.outcome is CallOutcome.NEUTRAL
        and latency_ratio <= candidate.latency_ratio
    )
    if not end.is_timed or is_early:
        return
    if not candidate.latency_count:
        candidate.latency_s = latency_s
        candidate.latency_ratio = latency_ratio
    candidate.latency_s += _LATENCY_SMOOTHING * (
        latency_s - candidate.latency_s
    )
    candidate.latency_ratio += _LATENCY_SMOOTHING * (
        latency_ratio - candidate.latency_ratio
    )
    candidate.latency_count += 1
    candidate.latency_at_s = now_s
