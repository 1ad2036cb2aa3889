"""Choosing candidates to probe for a load report, within a budget."""

from typing import Final

from carobmoor.retries import TokenBucket, can_take, charge, refill, resize
from carobmoor.routing._eject import wants_report
from carobmoor.routing._policy import RoutingPolicy
from carobmoor.routing._state import (
    FAR,
    CandidateState,
    RoutingState,
    ServiceState,
)

_FRESH_S: Final = 0.1
_IN_USE_S: Final = 2
_BURST_S: Final = 1


class ProbeBudget:
    """The budget of probes in bytes and in processor time."""

    def __init__(self, policy: RoutingPolicy) -> None:
        """Start with the budget of one second."""
        self.bytes = _bucket(policy.probe_bytes_per_s)
        self.core_s = _bucket(policy.probe_core_share)
        self._policy = policy

    def follow(self, policy: RoutingPolicy) -> None:
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
        (service, known)
        for service, known_service in state.services.items()
        if now_s - known_service.called_at_s < _IN_USE_S
        for known in _stale(known_service, now_s)
    ]
    return min(stale, key=lambda found: _urgency(found[1]), default=None)


def probe_ended(
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


def _stale(
    service: ServiceState,
    now_s: float,
) -> list[CandidateState]:
    return [
        known
        for known in service.candidates.values()
        if now_s - _heard_at_s(known) > _FRESH_S
        and not known.is_leaving
        and known.distance < FAR
    ]


def _urgency(known: CandidateState) -> tuple[bool, float]:
    return (not wants_report(known), _heard_at_s(known))


def _heard_at_s(known: CandidateState) -> float:
    return max(known.reported_at_s, known.probed_at_s)


def _bucket(per_s: float) -> TokenBucket:
    return TokenBucket(per_s * _BURST_S, per_s)
