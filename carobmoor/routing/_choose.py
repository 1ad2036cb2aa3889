"""Choosing the owner node for a call among the candidates of a service."""

import math
import random
from collections.abc import Sequence
from typing import Final

from carobmoor.retries import charge, refill, take
from carobmoor.routing._compare import (
    estimate_occupancy,
    slots_of,
    update_comparison,
)
from carobmoor.routing._eject import find_due_trial, ramp_up_share
from carobmoor.routing._messages import ChoiceQuery
from carobmoor.routing._state import (
    OTHER_REGION,
    SAME_REGION,
    SAME_ZONE,
    CandidateState,
    RoutingState,
    ServiceState,
)

_SAMPLE_SIZE: Final = 2
_SUCCESS_STEP: Final = 0.1
# Load per slot up to which a candidate in the same zone is preferred.
_SPILLOVER_LOAD: Final = 0.75
_US_PER_S: Final = 1_000_000
# A paid link is used only below this share of the latency in the region.
_MAX_PAID_LATENCY_SHARE: Final = 0.8

Candidates = Sequence[CandidateState]


def choose(
    state: RoutingState,
    service: str,
    query: ChoiceQuery,
    now_s: float,
    rng: random.Random,
) -> CandidateState | None:
    """Choose an owner node for a call; return `None` if none is eligible.

    A call may serve as the trial of an ejected candidate. Otherwise the same
    availability zone is preferred, then the same region. Of two randomly drawn
    candidates the one with the better success rate is chosen, or the less
    loaded one if they are about equal. Another region is tried when the
    candidate chosen in this one is not expected to meet the rank's target
    latency, or there is none, and only within the rank's budget for links
    between regions. A candidate that was tried or is leaving is never returned.
    """
    service_state = state.services.get(service)
    if service_state is None:
        return None
    service_state.last_called_at_s = now_s
    if query.is_repeatable:
        service_state.last_repeatable_at_s = now_s
    trial_candidate = find_due_trial(state, service_state, query, now_s)
    if trial_candidate is not None:
        return trial_candidate
    return _Choice(state, service_state, query, now_s, rng).select()


def charge_paid_response(
    state: RoutingState,
    rank: str,
    candidate: CandidateState,
    answer_bytes: int,
) -> None:
    """Charge a response from another region to the rank's budget."""
    if candidate.distance == OTHER_REGION:
        charge(state.paid_link_budget(rank), answer_bytes)
        state.counts['paid_link_bytes'] += answer_bytes


class _Choice:
    """The choice of an owner node for one call."""

    def __init__(
        self,
        state: RoutingState,
        service: ServiceState,
        query: ChoiceQuery,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Leave out the candidates that were tried or are leaving."""
        self._state = state
        self._query = query
        self._now_s = now_s
        self._rng = rng
        self._service = service
        self._eligible = [
            candidate
            for candidate in service.candidates.values()
            if not candidate.is_leaving and candidate.address not in query.tried
        ]

    def select(self) -> CandidateState | None:
        """Prefer healthy candidates; fall back to ejected or suspected ones."""
        healthy = [
            candidate for candidate in self._eligible if _is_healthy(candidate)
        ]
        chosen = self._choose_in_region(healthy)
        if chosen is not None and self._meets_target(chosen):
            return chosen
        remote = self._choose_other_region(healthy, chosen)
        if remote is not None:
            return remote
        if chosen is not None:
            return chosen
        unhealthy = [
            candidate
            for candidate in self._eligible
            if not _is_healthy(candidate)
        ]
        return self._choose_in_region(unhealthy) or self._choose_other_region(
            unhealthy, None
        )

    def _choose_in_region(
        self, candidates: Candidates
    ) -> CandidateState | None:
        chosen = self._choose_less_loaded(
            _within_distance(candidates, SAME_ZONE)
        )
        if (
            chosen is not None
            and self._estimate_load(chosen) <= _SPILLOVER_LOAD
        ):
            return chosen
        return self._choose_less_loaded(
            _within_distance(candidates, SAME_REGION)
        )

    def _choose_other_region(
        self,
        candidates: Candidates,
        in_region: CandidateState | None,
    ) -> CandidateState | None:
        if not self._query.may_leave_region:
            return None
        remote = [
            candidate
            for candidate in candidates
            if candidate.distance == OTHER_REGION
        ]
        chosen = self._choose_less_loaded(remote)
        if chosen is None:
            return None
        if in_region is not None and not self._is_faster(chosen, in_region):
            return None
        return chosen if self._charge_request() else None

    def _is_faster(
        self, remote: CandidateState, in_region: CandidateState
    ) -> bool:
        """Return whether the other region is worth its cost.

        A candidate of unknown latency is tried.
        """
        if not remote.latency_count:
            return True
        return self._expected_s(
            remote
        ) < _MAX_PAID_LATENCY_SHARE * self._expected_s(in_region)

    def _charge_request(self) -> bool:
        """Charge the request to the rank's budget if it suffices.

        The response is charged when it has arrived.
        """
        state = self._state
        bucket = state.paid_link_budget(self._query.rank)
        refill(bucket, self._now_s)
        request_bytes = self._query.request_bytes
        if not take(bucket, request_bytes + 1):
            state.counts['paid_link_refusals'] += 1
            return False
        state.counts['paid_link_bytes'] += request_bytes
        state.counts['paid_link_calls'] += 1
        return True

    def _choose_less_loaded(
        self, candidates: Candidates
    ) -> CandidateState | None:
        if not candidates:
            return None
        sample = self._sample(candidates)
        return (
            sample[0] if len(sample) == 1 else min(sample, key=self._sort_key)
        )

    def _sample(self, candidates: Candidates) -> Candidates:
        if any(
            candidate.ramp_started_s is not None for candidate in candidates
        ):
            ramp_s = self._state.policy.ramp_s
            shares = [
                ramp_up_share(candidate, ramp_s, self._now_s)
                for candidate in candidates
            ]
            return _sample_weighted(candidates, shares, self._rng)
        if len(candidates) < _SAMPLE_SIZE:
            return candidates
        return _sample_two(candidates, self._rng)

    def _sort_key(self, candidate: CandidateState) -> tuple[int, float]:
        update_comparison(self._service, candidate, self._now_s)
        success_gap = max(0, 1 - candidate.relative_success)
        return (
            math.floor(success_gap / _SUCCESS_STEP),
            self._estimate_load(candidate),
        )

    def _estimate_load(self, candidate: CandidateState) -> float:
        occupancy = estimate_occupancy(candidate, self._now_s) + 1
        return occupancy / slots_of(candidate) * candidate.slowness

    def _meets_target(self, candidate: CandidateState) -> bool:
        target_s = self._state.policy.target_s_by_rank.get(self._query.rank)
        return target_s is None or self._expected_s(candidate) <= target_s

    def _expected_s(self, candidate: CandidateState) -> float:
        report = candidate.report
        reported_us = 0 if report is None else report.service_time_us
        queueing_factor = max(
            1, estimate_occupancy(candidate, self._now_s) / slots_of(candidate)
        )
        return max(
            candidate.latency_s, reported_us / _US_PER_S * queueing_factor
        )


def _is_healthy(candidate: CandidateState) -> bool:
    return candidate.ejection is None and not candidate.node.is_suspect


def _within_distance(candidates: Candidates, max_distance: int) -> Candidates:
    return [
        candidate
        for candidate in candidates
        if candidate.distance <= max_distance
    ]


def _sample_two(candidates: Candidates, rng: random.Random) -> Candidates:
    first = int(rng.random() * len(candidates))
    second = int(rng.random() * (len(candidates) - 1))
    if second >= first:
        second += 1
    return (candidates[first], candidates[second])


def _sample_weighted(
    candidates: Candidates,
    shares: Sequence[float],
    rng: random.Random,
) -> Candidates:
    # Weighted sampling without replacement (Efraimidis and Spirakis): take
    # the items with the largest u ** (1 / weight).
    keys = [rng.random() ** (1 / share) for share in shares]
    indexes = sorted(range(len(candidates)), key=keys.__getitem__, reverse=True)
    return [candidates[index] for index in indexes[:_SAMPLE_SIZE]]
