"""Ejecting failing and slow candidates, and readmitting them by trials."""

from typing import Final

from carobmoor.routing._compare import has_recent_report, update_comparison
from carobmoor.routing._messages import ChoiceQuery
from carobmoor.routing._state import (
    OTHER_REGION,
    CandidateState,
    Ejection,
    RoutingState,
    ServiceState,
)

_MIN_SUCCESS_RATE: Final = 0.7
_MAX_SLOWNESS: Final = 3
_MIN_OUTCOME_COUNT: Final = 3
_TRIALS_AFTER_FAILURE: Final = 1
_TRIALS_AFTER_SLOWNESS: Final = 3
# A trial is due after this many calls and the shortest interval, or after the
# longest interval.
_CALLS_PER_TRIAL: Final = 100
_MIN_TRIAL_INTERVAL_S: Final = 0.25
_MAX_TRIAL_INTERVAL_S: Final = 4
# A request that the server ended within this time replaces an own trial.
_RECENT_OUTCOME_MS: Final = 1000
# An older report does not replace a trial.
_MAX_REPORT_AGE_S: Final = 0.5
# How long a trial that is due waits for a newer report.
_REPORT_TIMEOUT_S: Final = 0.5
_MIN_RAMP_UP_SHARE: Final = 0.05


def eject_if_outlier(
    state: RoutingState,
    service: ServiceState,
    candidate: CandidateState,
    now_s: float,
) -> None:
    """Eject a candidate that fails or is much slower than its peers.

    At most `max_ejected` candidates of a service are ejected at once.
    """
    update_comparison(service, candidate, now_s)
    if candidate.ejection is not None or _is_healthy(candidate):
        return
    if not _may_eject(state, service):
        return
    if _is_failing(candidate):
        candidate.ejection = Ejection(now_s, _TRIALS_AFTER_FAILURE)
        state.counts['ejected_failing'] += 1
    elif candidate.slowness > _MAX_SLOWNESS:
        candidate.ejection = Ejection(now_s, _TRIALS_AFTER_SLOWNESS)
        state.counts['ejected_slow'] += 1


def record_trial(
    service: ServiceState,
    candidate: CandidateState,
    latency_ratio: float | None,
    now_s: float,
) -> None:
    """Record the result of a trial; readmit after enough good ones in a row.

    `latency_ratio` is the latency relative to the typical one of the rank, or
    `None` for a failure. A trial that is much slower than the peers is not
    good.
    """
    ejection = candidate.ejection
    if ejection is None:
        return
    typical_ratio = service.typical.latency_ratios[candidate.distance]
    if latency_ratio is None or (
        typical_ratio and latency_ratio > typical_ratio * _MAX_SLOWNESS
    ):
        ejection.consecutive_successes = 0
        return
    ejection.consecutive_successes += 1
    if ejection.consecutive_successes >= ejection.required_successes:
        _readmit(candidate, now_s)


def find_due_trial(
    state: RoutingState,
    service: ServiceState,
    query: ChoiceQuery,
    now_s: float,
) -> CandidateState | None:
    """Return an ejected candidate if this call should be its trial.

    Calls that may not be repeated are not used as trials while repeatable
    ones come in.
    """
    since_repeatable_s = now_s - service.last_repeatable_at_s
    if not query.is_repeatable and since_repeatable_s < _MAX_TRIAL_INTERVAL_S:
        return None
    for candidate in service.candidates.values():
        if candidate.ejection is None or candidate.is_leaving:
            continue
        candidate.ejection.calls_since_trial += 1
        is_eligible = (
            candidate.address not in query.tried
            and candidate.distance < OTHER_REGION
        )
        if is_eligible and _is_trial_due(candidate, candidate.ejection, now_s):
            candidate.ejection.calls_since_trial = 0
            candidate.ejection.last_trial_at_s = now_s
            state.counts['trials'] += 1
            return candidate
    return None


def awaits_report(candidate: CandidateState) -> bool:
    """Return whether a trial is waiting for a report of the candidate."""
    return (
        candidate.ejection is not None
        and candidate.ejection.report_wait_started_s is not None
    )


def ramp_up_share(
    candidate: CandidateState,
    ramp_s: float,
    now_s: float,
) -> float:
    """Return the share of its full load that a candidate gets in ramp-up.

    Clears the ramp-up once its time has passed.
    """
    if candidate.ramp_started_s is None:
        return 1
    elapsed_s = now_s - candidate.ramp_started_s
    if elapsed_s >= ramp_s:
        candidate.ramp_started_s = None
        return 1
    return max(_MIN_RAMP_UP_SHARE, elapsed_s / ramp_s)


def max_ejected(state: RoutingState, candidate_count: int) -> int:
    """Return how many of the candidates may be ejected at once.

    This is the share of the policy, but at least one and never all.
    """
    share = int(candidate_count * state.policy.ejected_share)
    return min(max(1, share), candidate_count - 1)


def _is_healthy(candidate: CandidateState) -> bool:
    return (
        candidate.relative_success >= _MIN_SUCCESS_RATE
        and candidate.slowness <= _MAX_SLOWNESS
    )


def _may_eject(state: RoutingState, service: ServiceState) -> bool:
    candidates = service.candidates.values()
    ejected = sum(candidate.ejection is not None for candidate in candidates)
    return ejected < max_ejected(state, len(candidates))


def _is_failing(candidate: CandidateState) -> bool:
    reports_failures = (
        candidate.report is not None and candidate.report.success_rate < 1
    )
    if (
        candidate.success.outcome_count < _MIN_OUTCOME_COUNT
        and not reports_failures
    ):
        return False
    return candidate.relative_success < _MIN_SUCCESS_RATE


def _is_trial_due(
    candidate: CandidateState, ejection: Ejection, now_s: float
) -> bool:
    elapsed_s = now_s - ejection.last_trial_at_s
    has_enough_calls = ejection.calls_since_trial >= _CALLS_PER_TRIAL
    min_interval_s = _MIN_TRIAL_INTERVAL_S
    if not has_enough_calls:
        min_interval_s = _MAX_TRIAL_INTERVAL_S
    if elapsed_s < min_interval_s:
        return False
    return _is_trial_needed(candidate, ejection, now_s)


def _is_trial_needed(
    candidate: CandidateState,
    ejection: Ejection,
    now_s: float,
) -> bool:
    """Return whether a trial is needed; a recent report may replace it.

    The report says how the requests of other callers went. If it is good, the
    candidate is readmitted; if not, the wait for the next trial starts again.
    """
    if now_s - candidate.reported_at_s > _MAX_REPORT_AGE_S:
        if ejection.report_wait_started_s is None:
            ejection.report_wait_started_s = now_s
        return now_s - ejection.report_wait_started_s > _REPORT_TIMEOUT_S
    ejection.report_wait_started_s = None
    report = candidate.report
    if report is None or report.outcome_age_ms > _RECENT_OUTCOME_MS:
        return True
    ejection.last_trial_at_s = now_s
    ejection.calls_since_trial = 0
    if has_recent_report(candidate, now_s) and _is_reported_healthy(candidate):
        _readmit(candidate, now_s)
    return False


def _is_reported_healthy(candidate: CandidateState) -> bool:
    report = candidate.report
    return (
        report is not None
        and report.success_rate >= _MIN_SUCCESS_RATE
        and candidate.reported_slowness <= _MAX_SLOWNESS
    )


def _readmit(candidate: CandidateState, now_s: float) -> None:
    candidate.ejection = None
    candidate.ramp_started_s = now_s
    candidate.latency_count = 0
    candidate.success.reset()
    # The report may describe the time before the recovery.
    candidate.report = None
