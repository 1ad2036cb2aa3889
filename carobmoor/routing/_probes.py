"""Choosing candidates to probe for a load report, within a budget."""

from typing import Final

from carobmoor.retries import TokenBucket, can_take, charge, refill, resize
from carobmoor.routing._eject import awaits_report
from carobmoor.routing._policy import RoutingPolicy
from carobmoor.routing._state import (
    OTHER_REGION,
    CandidateState,
    RoutingState,
    ServiceState,
)

_FRESH_REPORT_S: Final = 0.1
_IN_USE_S: Final = 2
_BURST_S: Final = 1


class ProbeBudget:
    """The budget of probes in bytes and in processor time."""

    def __init__(self, policy: RoutingPolicy) -> None:
        """Start with the budget of one second."""
        self.bytes = _make_bucket(policy.probe_bytes_per_s)
        self.core_s = _make_bucket(policy.probe_core_share)
        self._policy = policy

    def apply_policy(self, policy: RoutingPolicy) -> None:
        """Apply the limits of a new policy."""
        if policy != self._policy:
            self._policy = policy
            bytes_per_s = policy.probe_bytes_per_s
            resize(self.bytes, bytes_per_s * _BURST_S, bytes_per_s)
            core_share = policy.probe_core_share
            resize(self.core_s, core_share * _BURST_S, core_share)


def next_probe(
    state: RoutingState,
    budget: ProbeBudget,
    now_s: float,
) -> tuple[str, CandidateState] | None:
    """Return the service and candidate to probe next, or `None`.

    Probes go to candidates in the same region whose report is stale, of
    services in use. A candidate whose trial waits for a report comes first,
    then the one that was least recently probed or reported. Nothing is probed
    while the budget of bytes or of processor time is spent.
    """
    refill(budget.bytes, now_s)
    refill(budget.core_s, now_s)
    if not can_take(budget.bytes, 1) or not can_take(budget.core_s, 0):
        return None
    stale = [
        (service, candidate)
        for service, service_state in state.services.items()
        if now_s - service_state.last_called_at_s < _IN_USE_S
        for candidate in _stale_candidates(service_state, now_s)
    ]
    return min(stale, key=lambda found: _probe_order(found[1]), default=None)


def charge_probe(
    state: RoutingState,
    budget: ProbeBudget,
    spent_bytes: int,
    spent_core_s: float,
) -> None:
    """Charge the cost of a probe to the budget."""
    charge(budget.bytes, spent_bytes)
    charge(budget.core_s, spent_core_s)
    state.counts['probes'] += 1
    state.counts['probe_bytes'] += spent_bytes
    state.counts['probe_core_s'] += spent_core_s


def _stale_candidates(
    service: ServiceState,
    now_s: float,
) -> list[CandidateState]:
    return [
        candidate
        for candidate in service.candidates.values()
        if now_s - _last_contact_s(candidate) > _FRESH_REPORT_S
        and not candidate.is_leaving
        and candidate.distance < OTHER_REGION
    ]


def _probe_order(candidate: CandidateState) -> tuple[bool, float]:
    return (not awaits_report(candidate), _last_contact_s(candidate))


def _last_contact_s(candidate: CandidateState) -> float:
    return max(candidate.reported_at_s, candidate.probed_at_s)


def _make_bucket(rate_per_s: float) -> TokenBucket:
    return TokenBucket(rate_per_s * _BURST_S, rate_per_s)
