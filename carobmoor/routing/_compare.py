"""Comparing a candidate with its peers by success rate, speed and load."""

from collections.abc import Sequence
from typing import Final

from carobmoor.routing._state import (
    FAR,
    HERE,
    NEAR,
    CandidateState,
    ServiceState,
    Typical,
)

# Age at which the load in a report has lost all weight.
_REPORT_LIFETIME_S: Final = 0.1
# The success rate and service time in a report count up to this age.
_MEASURE_LIFETIME_S: Final = 2
_TYPICAL_LIFETIME_S: Final = 0.05
_FORGET_LATENCY_S: Final = 5
_LEAST_LATENCIES: Final = 3
# Smaller differences from the typical candidate do not count as slowness.
_LEAST_GAP_S: Final = 0.002
_LEAST_GAP_US: Final = 2000
_UNKNOWN_SLOTS: Final = 8


def occupancy_of(known: CandidateState, now_s: float) -> float:
    """Estimate the number of requests at a candidate.

    Own calls are known. The requests of other callers come from the last
    report, whose weight falls to zero within milliseconds.
    """
    age_s = now_s - known.reported_at_s
    weight = max(0, 1 - age_s / _REPORT_LIFETIME_S)
    return known.own_in_flight + weight * known.others_in_flight


def slots_of(known: CandidateState) -> int:
    """Return the slots of a candidate, or a small default if unknown."""
    return _UNKNOWN_SLOTS if known.report is None else known.report.slots


def compare(
    service: ServiceState,
    known: CandidateState,
    now_s: float,
) -> None:
    """Update how a candidate compares with the typical one."""
    if now_s - service.typical_at_s > _TYPICAL_LIFETIME_S:
        service.typical = _typical_of(service, now_s)
        service.typical_at_s = now_s
    typical = service.typical
    success = _success_of(known, now_s)
    known.relative_success = 1
    if success < typical.success_rate:
        known.relative_success = success / typical.success_rate
    seen = _seen_slowness(known, typical.paces[known.distance], now_s)
    known.told_slowness = _told_slowness(known, typical, now_s)
    known.slowness = max(1, seen, known.told_slowness)


def is_recent(known: CandidateState, now_s: float) -> bool:
    """Return whether the last report still describes the server."""
    age_s = now_s - known.reported_at_s
    return known.report is not None and age_s < _MEASURE_LIFETIME_S


def _typical_of(service: ServiceState, now_s: float) -> Typical:
    known = [one for one in service.candidates.values() if not one.is_leaving]
    rates = sorted(_success_of(one, now_s) for one in known)
    told_us = [_service_time_us(one, now_s) for one in known]
    heard_us = sorted(told for told in told_us if told)
    paces = [_pace_beyond(known, distance) for distance in (HERE, NEAR, FAR)]
    return Typical(
        rates[len(rates) // 2] if rates else 1,
        heard_us[(len(heard_us) - 1) // 2] if heard_us else 0,
        paces,
    )


def _pace_beyond(known: Sequence[CandidateState], distance: int) -> float:
    # A peer that is farther away and yet faster proves that a candidate is
    # slow; a nearer peer is expected to be faster and proves nothing.
    paces = sorted(
        one.pace
        for one in known
        if one.latencies >= _LEAST_LATENCIES and one.distance >= distance
    )
    return paces[(len(paces) - 1) // 2] if paces else 0


def _success_of(known: CandidateState, now_s: float) -> float:
    """Return the lower of the observed and the reported success rate."""
    seen = known.success.at(now_s)
    if known.report is None or not is_recent(known, now_s):
        return seen
    return min(seen, known.report.success_rate)


def _seen_slowness(
    known: CandidateState,
    typical: float,
    now_s: float,
) -> float:
    if known.latencies < _LEAST_LATENCIES:
        return 1
    if not typical or known.pace <= typical:
        return 1
    slowness = known.pace / typical
    if known.latency_s * (1 - 1 / slowness) < _LEAST_GAP_S:
        return 1
    age_s = now_s - known.latency_at_s
    return 1 + (slowness - 1) * 0.5 ** (age_s / _FORGET_LATENCY_S)


def _told_slowness(
    known: CandidateState,
    typical: Typical,
    now_s: float,
) -> float:
    told_us = _service_time_us(known, now_s)
    if told_us - typical.service_time_us < _LEAST_GAP_US:
        return 1
    if not typical.service_time_us:
        return 1
    return told_us / typical.service_time_us


def _service_time_us(known: CandidateState, now_s: float) -> int:
    if known.report is None or not is_recent(known, now_s):
        return 0
    return known.report.service_time_us
