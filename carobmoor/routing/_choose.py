"""Choosing the owner node for a call among the candidates of a service."""

import math
import random
from collections.abc import Sequence
from typing import Final

from carobmoor.retries import charge, refill, take
from carobmoor.routing._compare import (
    compare,
    occupancy_of,
    slots_of,
)
from carobmoor.routing._eject import due_trial, share_of
from carobmoor.routing._messages import ChoiceQuery
from carobmoor.routing._state import (
    FAR,
    HERE,
    NEAR,
    CandidateState,
    RoutingState,
    ServiceState,
)

_CHOICES: Final = 2
_SUCCESS_STEP: Final = 0.1
# Load per slot up to which a candidate in the same zone is preferred.
_SPILL_LOAD: Final = 0.75
_US_PER_S: Final = 1_000_000
# A paid link is used only below this share of the latency in the region.
_GAIN: Final = 0.8

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
    availability zone is preferred, then the same region. Another region is
    chosen when no candidate in this one is expected to meet the rank's target
    latency, and only within the rank's budget for links between regions. Of
    the candidates at one distance, two are drawn at random and the less loaded
    one is chosen. A candidate that was tried or is leaving is never returned.
    """
    known_service = state.services.get(service)
    if known_service is None:
        return None
    known_service.called_at_s = now_s
    if query.is_repeatable:
        known_service.repeatable_at_s = now_s
    on_trial = due_trial(state, known_service, query, now_s)
    if on_trial is not None:
        return on_trial
    return _Choice(state, known_service, query, now_s, rng).make()


def note_paid_answer(
    state: RoutingState,
    rank: str,
    known: CandidateState,
    answer_bytes: int,
) -> None:
    """Charge a response from another region to the rank's budget."""
    if known.distance == FAR:
        charge(state.paid_link(rank), answer_bytes)
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
        self._open = [
            known
            for known in service.candidates.values()
            if not known.is_leaving and known.address not in query.tried
        ]

    def make(self) -> CandidateState | None:
        """Prefer healthy candidates; fall back to ejected or suspected ones."""
        sound = [known for known in self._open if _is_sound(known)]
        chosen = self._near(sound)
        if chosen is not None and self._meets_target(chosen):
            return chosen
        beyond = self._beyond(sound, chosen)
        if beyond is not None:
            return beyond
        if chosen is not None:
            return chosen
        unsound = [known for known in self._open if not _is_sound(known)]
        return self._near(unsound) or self._beyond(unsound, None)

    def _near(self, candidates: Candidates) -> CandidateState | None:
        chosen = self._better(_within(candidates, HERE))
        if chosen is not None and self._load(chosen) <= _SPILL_LOAD:
            return chosen
        return self._better(_within(candidates, NEAR))

    def _beyond(
        self,
        candidates: Candidates,
        here: CandidateState | None,
    ) -> CandidateState | None:
        if not self._query.may_leave_region:
            return None
        far = [known for known in candidates if known.distance == FAR]
        chosen = self._better(far)
        if chosen is None:
            return None
        if here is not None and not self._is_faster(chosen, here):
            return None
        return chosen if self._pay() else None

    def _is_faster(self, far: CandidateState, here: CandidateState) -> bool:
        """Return whether the other region is worth its cost.

        A candidate of unknown latency is, so that its latency gets measured.
        """
        if not far.latencies:
            return True
        return self._expected_s(far) < _GAIN * self._expected_s(here)

    def _pay(self) -> bool:
        """Charge the request to the rank's budget if it suffices.

        The response is charged when it has arrived.
        """
        state = self._state
        bucket = state.paid_link(self._query.rank)
        refill(bucket, self._now_s)
        request_bytes = self._query.request_bytes
        if not take(bucket, request_bytes + 1):
            state.counts['paid_link_refusals'] += 1
            return False
        state.counts['paid_link_bytes'] += request_bytes
        state.counts['paid_link_calls'] += 1
        return True

    def _better(self, candidates: Candidates) -> CandidateState | None:
        if not candidates:
            return None
        drawn = self._draw(candidates)
        return drawn[0] if len(drawn) == 1 else min(drawn, key=self._key)

    def _draw(self, candidates: Candidates) -> Candidates:
        if any(known.ramp_from_s is not None for known in candidates):
            ramp_s = self._state.policy.ramp_s
            shares = [share_of(one, ramp_s, self._now_s) for one in candidates]
            return _draw_weighted(candidates, shares, self._rng)
        if len(candidates) < _CHOICES:
            return candidates
        return _draw_two(candidates, self._rng)

    def _key(self, known: CandidateState) -> tuple[int, float]:
        compare(self._service, known, self._now_s)
        lack = max(0, 1 - known.relative_success)
        return (math.floor(lack / _SUCCESS_STEP), self._load(known))

    def _load(self, known: CandidateState) -> float:
        occupancy = occupancy_of(known, self._now_s) + 1
        return occupancy / slots_of(known) * known.slowness

    def _meets_target(self, known: CandidateState) -> bool:
        target_s = self._state.policy.target_s_by_rank.get(self._query.rank)
        return target_s is None or self._expected_s(known) <= target_s

    def _expected_s(self, known: CandidateState) -> float:
        report = known.report
        told_us = 0 if report is None else report.service_time_us
        waiting = max(1, occupancy_of(known, self._now_s) / slots_of(known))
        return max(known.latency_s, told_us / _US_PER_S * waiting)


def _is_sound(known: CandidateState) -> bool:
    return known.ejection is None and not known.candidate.is_suspect


def _within(candidates: Candidates, most_distance: int) -> Candidates:
    return [known for known in candidates if known.distance <= most_distance]


def _draw_two(candidates: Candidates, rng: random.Random) -> Candidates:
    first = int(rng.random() * len(candidates))
    second = int(rng.random() * (len(candidates) - 1))
    if second >= first:
        second += 1
    return (candidates[first], candidates[second])


def _draw_weighted(
    candidates: Candidates,
    shares: Sequence[float],
    rng: random.Random,
) -> Candidates:
    # Weighted sampling without replacement (Efraimidis and Spirakis): take
    # the items with the largest u ** (1 / weight).
    keys = [rng.random() ** (1 / share) for share in shares]
    places = sorted(range(len(candidates)), key=keys.__getitem__, reverse=True)
    return [candidates[place] for place in places[:_CHOICES]]
