"""Comparing a candidate with its peers by success rate, speed and load."""

from collections.abc import Sequence
from typing import Final

from carobmoor.routing._state import (
    OTHER_REGION,
    SAME_REGION,
    SAME_ZONE,
    CandidateState,
    ServiceState,
    TypicalValues,
)

# Age at which the load in a report has lost all weight.
_REPORTED_LOAD_LIFETIME_S: Final = 0.1
# The success rate and service time in a report count up to this age.
_REPORTED_HEALTH_LIFETIME_S: Final = 2
_TYPICAL_LIFETIME_S: Final = 0.05
_LATENCY_HALF_LIFE_S: Final = 5
_MIN_LATENCY_COUNT: Final = 3
# Smaller differences from the typical candidate do not count as slowness.
_MIN_GAP_S: Final = 0.002
_MIN_GAP_US: Final = 2000
_DEFAULT_SLOTS: Final = 8


def estimate_occupancy(candidate: CandidateState, now_s: float) -> float:
    """Estimate the number of requests at a candidate.

    Own calls are known. The requests of other callers come from the last
    report, whose weight falls to zero within 100 ms.
    """
    age_s = now_s - candidate.reported_at_s
    weight = max(0, 1 - age_s / _REPORTED_LOAD_LIFETIME_S)
    return candidate.own_in_flight + weight * candidate.others_in_flight


def slots_of(candidate: CandidateState) -> int:
    """Return the slots of a candidate, or a small default if unknown."""
    return (
        _DEFAULT_SLOTS if candidate.report is None else candidate.report.slots
    )


def update_comparison(
    service: ServiceState,
    candidate: CandidateState,
    now_s: float,
) -> None:
    """Update how a candidate compares with the typical one."""
    if now_s - service.typical_updated_at_s > _TYPICAL_LIFETIME_S:
        service.typical = _compute_typical(service, now_s)
        service.typical_updated_at_s = now_s
    typical = service.typical
    success = _success_rate(candidate, now_s)
    candidate.relative_success = 1
    if success < typical.success_rate:
        candidate.relative_success = success / typical.success_rate
    observed = _observed_slowness(
        candidate, typical.latency_ratios[candidate.distance], now_s
    )
    candidate.reported_slowness = _reported_slowness(candidate, typical, now_s)
    candidate.slowness = max(1, observed, candidate.reported_slowness)


def has_recent_report(candidate: CandidateState, now_s: float) -> bool:
    """Return whether the last report still describes the server."""
    age_s = now_s - candidate.reported_at_s
    return candidate.report is not None and age_s < _REPORTED_HEALTH_LIFETIME_S


def _compute_typical(service: ServiceState, now_s: float) -> TypicalValues:
    candidates = [
        candidate
        for candidate in service.candidates.values()
        if not candidate.is_leaving
    ]
    success_rates = sorted(
        _success_rate(candidate, now_s) for candidate in candidates
    )
    service_times_us = [
        _service_time_us(candidate, now_s) for candidate in candidates
    ]
    reported_us = sorted(time_us for time_us in service_times_us if time_us)
    latency_ratios = [
        _typical_latency_ratio(candidates, distance)
        for distance in (SAME_ZONE, SAME_REGION, OTHER_REGION)
    ]
    return TypicalValues(
        success_rates[len(success_rates) // 2] if success_rates else 1,
        reported_us[(len(reported_us) - 1) // 2] if reported_us else 0,
        latency_ratios,
    )


def _typical_latency_ratio(
    candidates: Sequence[CandidateState], distance: int
) -> float:
    # A peer that is farther away and yet faster proves that a candidate is
    # slow; a nearer peer is expected to be faster and proves nothing.
    latency_ratios = sorted(
        candidate.latency_ratio
        for candidate in candidates
        if candidate.latency_count >= _MIN_LATENCY_COUNT
        and candidate.distance >= distance
    )
    return (
        latency_ratios[(len(latency_ratios) - 1) // 2] if latency_ratios else 0
    )


def _success_rate(candidate: CandidateState, now_s: float) -> float:
    """Return the lower of the observed and the reported success rate."""
    observed = candidate.success.rate_at(now_s)
    if candidate.report is None or not has_recent_report(candidate, now_s):
        return observed
    return min(observed, candidate.report.success_rate)


def _observed_slowness(
    candidate: CandidateState,
    typical_ratio: float,
    now_s: float,
) -> float:
    if candidate.latency_count < _MIN_LATENCY_COUNT:
        return 1
    if not typical_ratio or candidate.latency_ratio <= typical_ratio:
        return 1
    slowness = candidate.latency_ratio / typical_ratio
    if candidate.latency_s * (1 - 1 / slowness) < _MIN_GAP_S:
        return 1
    age_s = now_s - candidate.latency_at_s
    return 1 + (slowness - 1) * 0.5 ** (age_s / _LATENCY_HALF_LIFE_S)


def _reported_slowness(
    candidate: CandidateState,
    typical: TypicalValues,
    now_s: float,
) -> float:
    reported_us = _service_time_us(candidate, now_s)
    if reported_us - typical.service_time_us < _MIN_GAP_US:
        return 1
    if not typical.service_time_us:
        return 1
    return reported_us / typical.service_time_us


def _service_time_us(candidate: CandidateState, now_s: float) -> int:
    if candidate.report is None or not has_recent_report(candidate, now_s):
        return 0
    return candidate.report.service_time_us
