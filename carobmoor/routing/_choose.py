"""The choice between the candidates of one service."""

import random
from collections.abc import Container, Sequence
from typing import Final

from carobmoor.routing._state import CandidateState, RoutingState
from carobmoor.transport import Address

_REPORT_LIFETIME_S: Final = 0.1
_CHOICES: Final = 2


def choose(
    state: RoutingState,
    service: str,
    tried: Container[Address],
    now_s: float,
    rng: random.Random,
) -> CandidateState | None:
    """Choose the less loaded of two random candidates not tried yet."""
    open_candidates = [
        known
        for known in state.of(service)
        if known.candidate.address not in tried
        and not (known.report is not None and known.report.is_leaving)
    ]
    if not open_candidates:
        return None
    drawn = _draw(open_candidates, rng)
    return min(drawn, key=lambda known: _load(known, now_s))


def _draw(
    candidates: Sequence[CandidateState],
    rng: random.Random,
) -> Sequence[CandidateState]:
    if len(candidates) <= _CHOICES:
        return candidates
    return rng.sample(candidates, _CHOICES)


def _load(known: CandidateState, now_s: float) -> float:
    load = float(known.own_in_flight)
    report = known.report
    if report is not None:
        age_s = now_s - known.reported_at_s
        weight = max(0, 1 - age_s / _REPORT_LIFETIME_S)
        load += weight * (report.in_flight + report.queued) / report.slots
    return load + (1 - known.success_rate) * _CHOICES
