"""Ejecting failing and slow candidates, and readmitting them by trials."""

from typing import Final

from carobmoor.routing._compare import compare, is_recent
from carobmoor.routing._messages import ChoiceQuery
from carobmoor.routing._state import (
    FAR,
    CandidateState,
    Ejection,
    RoutingState,
    ServiceState,
)

_LEAST_SUCCESS: Final = 0.7
_MOST_SLOWNESS: Final = 3
_LEAST_OUTCOMES: Final = 3
_TRIALS_AFTER_FAILURE: Final = 1
_TRIALS_AFTER_SLOWNESS: Final = 3
# A trial is due after this many calls and the shortest interval, or after the
# longest interval.
_CALLS_PER_TRIAL: Final = 100
_SHORTEST_TRIAL_INTERVAL_S: Final = 0.25
_LONGEST_TRIAL_INTERVAL_S: Final = 4
# A request that the server ended within this time replaces an own trial.
_SHARED_TRIAL_MS: Final = 1000
# An older report does not replace a trial.
_HEARD_WITHIN_S: Final = 0.5
# How long a trial that is due waits for a newer report.
_WAIT_FOR_REPORT_S: Final = 0.5
_SMALLEST_SHARE: Final = 0.05


def judge(
    state: RoutingState,
    service: ServiceState,
    known: CandidateState,
    now_s: float,
) -> None:
    """Eject a candidate that fails or is much slower than its peers.

    At most `most_ejected` candidates of a service are ejected at once.
    """
    compare(service, known, now_s)
    if known.ejection is not None or _is_well(known):
        return
    if not _may_eject(state, service):
        return
    if _fails(known):
        known.ejection = Ejection(now_s, _TRIALS_AFTER_FAILURE)
        state.counts['ejected_failing'] += 1
    elif known.slowness > _MOST_SLOWNESS:
        known.ejection = Ejection(now_s, _TRIALS_AFTER_SLOWNESS)
        state.counts['ejected_slow'] += 1


def judge_trial(
    service: ServiceState,
    known: CandidateState,
    pace: float | None,
    now_s: float,
) -> None:
    """Record the result of a trial; readmit after enough good ones in a row.

    `pace` is the latency relative to the typical one of the rank, or `None`
    for a failure. A trial that is much slower than the peers is not good.
    """
    ejection = known.ejection
    if ejection is None:
        return
    typical = service.typical.paces[known.distance]
    if pace is None or (typical and pace > typical * _MOST_SLOWNESS):
        ejection.good_trials = 0
        return
    ejection.good_trials += 1
    if ejection.good_trials >= ejection.wanted_trials:
        _readmit(known, now_s)


def due_trial(
    state: RoutingState,
    service: ServiceState,
    query: ChoiceQuery,
    now_s: float,
) -> CandidateState | None:
    """Return an ejected candidate if this call should be its trial.

    Calls that may not be repeated are not used as trials while repeatable
    ones come in.
    """
    spared_s = now_s - service.repeatable_at_s
    if not query.is_repeatable and spared_s < _LONGEST_TRIAL_INTERVAL_S:
        return None
    for known in service.candidates.values():
        if known.ejection is None or known.is_leaving:
            continue
        known.ejection.calls_since_trial += 1
        is_open = known.address not in query.tried and known.distance < FAR
        if is_open and _is_due(known, known.ejection, now_s):
            known.ejection.calls_since_trial = 0
            known.ejection.trial_at_s = now_s
            state.counts['trials'] += 1
            return known
    return None


def wants_report(known: CandidateState) -> bool:
    """Return whether a trial is waiting for a report of the candidate."""
    return known.ejection is not None and known.ejection.asked_at_s is not None


def share_of(
    known: CandidateState,
    ramp_s: float,
    now_s: float,
) -> float:
    """Return the share of its full load that a candidate gets in ramp-up.

    Clears the ramp-up once its time has passed.
    """
    if known.ramp_from_s is None:
        return 1
    passed_s = now_s - known.ramp_from_s
    if passed_s >= ramp_s:
        known.ramp_from_s = None
        return 1
    return max(_SMALLEST_SHARE, passed_s / ramp_s)


def most_ejected(state: RoutingState, candidates: int) -> int:
    """Return how many of the candidates may be ejected at once.

    This is the share of the policy, but at least one and never all.
    """
    share = int(candidates * state.policy.ejected_share)
    return min(max(1, share), candidates - 1)


def _is_well(known: CandidateState) -> bool:
    return (
        known.relative_success >= _LEAST_SUCCESS
        and known.slowness <= _MOST_SLOWNESS
    )


def _may_eject(state: RoutingState, service: ServiceState) -> bool:
    known = service.candidates.values()
    ejected = sum(one.ejection is not None for one in known)
    return ejected < most_ejected(state, len(known))


def _fails(known: CandidateState) -> bool:
    told = known.report is not None and known.report.success_rate < 1
    if known.success.outcomes < _LEAST_OUTCOMES and not told:
        return False
    return known.relative_success < _LEAST_SUCCESS


def _is_due(known: CandidateState, ejection: Ejection, now_s: float) -> bool:
    passed_s = now_s - ejection.trial_at_s
    enough = ejection.calls_since_trial >= _CALLS_PER_TRIAL
    shortest_s = _SHORTEST_TRIAL_INTERVAL_S
    if not enough:
        shortest_s = _LONGEST_TRIAL_INTERVAL_S
    if passed_s < shortest_s:
        return False
    return _is_needed(known, ejection, now_s)


def _is_needed(
    known: CandidateState,
    ejection: Ejection,
    now_s: float,
) -> bool:
    """Return whether a trial is needed, or a report is enough.

    A recent report says how the requests of other callers went. If it is
    good, the candidate is readmitted without an own trial.
    """
    if now_s - known.reported_at_s > _HEARD_WITHIN_S:
        if ejection.asked_at_s is None:
            ejection.asked_at_s = now_s
        return now_s - ejection.asked_at_s > _WAIT_FOR_REPORT_S
    ejection.asked_at_s = None
    report = known.report
    if report is None or report.outcome_age_ms > _SHARED_TRIAL_MS:
        return True
    ejection.trial_at_s = now_s
    ejection.calls_since_trial = 0
    if is_recent(known, now_s) and _is_told_well(known):
        _readmit(known, now_s)
    return False


def _is_told_well(known: CandidateState) -> bool:
    report = known.report
    return (
        report is not None
        and report.success_rate >= _LEAST_SUCCESS
        and known.told_slowness <= _MOST_SLOWNESS
    )


def _readmit(known: CandidateState, now_s: float) -> None:
    known.ejection = None
    known.ramp_from_s = now_s
    known.latencies = 0
    known.success.forget()
    # The report may describe the time before the recovery.
    known.report = None
