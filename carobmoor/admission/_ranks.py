"""Slot-time credit of the ranks, and the slots that ranks may borrow.

A rank accrues credit (slot time) at its guaranteed share and spends it as its
requests run. While it has credit, it is entitled to the next free slot. Slots
that no such rank needs are lent to the rank with the highest worth per second
of slot time.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from carobmoor.admission._messages import RankPolicy
from carobmoor.admission._queue import RankQueue

_MS_PER_S: Final = 1000
_MIN_SHARE: Final = 0.01
_SMOOTHING: Final = 0.05
_TYPICAL_SMOOTHING: Final = 0.005
_MIN_TYPICAL_SAMPLES: Final = 200
_INITIAL_S: Final = float(0)
_MIN_SERVICE_TIME_S: Final = 0.000001
_IN_FLIGHT_DECAY_S: Final = 5
# A slot almost surely becomes free within this many mean intervals.
_SAFETY_INTERVALS: Final = 3
# Fluctuation of the number in flight, in square roots of its mean.
_IN_FLIGHT_DEVIATIONS: Final = 1.5
_INITIAL_SERVICE_TIME_S: Final = 0.005


class RankState:
    """The queue, credit and service times of one rank."""

    def __init__(self, policy: RankPolicy) -> None:
        """Start idle and without credit."""
        self.policy = policy
        self.queue = RankQueue()
        self.in_flight = 0
        self.share = float(0)
        self.credit_s = float(0)
        self.credit_updated_at_s = _INITIAL_S
        self.service_time_s = _INITIAL_SERVICE_TIME_S
        self.typical_service_time_s = _INITIAL_SERVICE_TIME_S
        self._finished = 0
        self._typical_count = 0
        self.mean_in_flight = _INITIAL_S
        self._mean_updated_at_s = _INITIAL_S

    @property
    def target_s(self) -> float:
        """The target latency in seconds."""
        return self.policy.target_latency_ms / _MS_PER_S

    def accrue_credit(self, slots: int, burst_s: float, now_s: float) -> None:
        """Accrue credit for the time since the last call.

        The credit is capped at `burst_s` of the share, or at half the target
        latency if that is longer: a rank with a long target is served after
        more urgent ones, and would lose the credit for the time they delay it.
        """
        share_slots = self.share * slots
        accrued_s = share_slots * max(0, now_s - self.credit_updated_at_s)
        max_credit_s = share_slots * max(burst_s, self.target_s / 2)
        self.credit_s = min(max_credit_s, self.credit_s + accrued_s)
        self.credit_updated_at_s = now_s

    def change_in_flight(self, change: int, now_s: float) -> None:
        """Change the number in flight and update its decaying mean."""
        decay = math.exp((self._mean_updated_at_s - now_s) / _IN_FLIGHT_DECAY_S)
        self.mean_in_flight = self.in_flight + decay * (
            self.mean_in_flight - self.in_flight
        )
        self._mean_updated_at_s = now_s
        self.in_flight += change

    def record_service_time(
        self, service_time_s: float, is_saturated: bool
    ) -> float | None:
        """Record a service time; return it as a multiple of the typical one.

        Returns `None` until enough samples are known.

        After the first samples, the typical service time is updated only
        while slots are free, since a saturated backend server may be slow
        because it is saturated.
        """
        self._finished += 1
        error_s = service_time_s - self.service_time_s
        weight = max(_SMOOTHING, 1 / self._finished)
        self.service_time_s += weight * error_s
        if not is_saturated or self._typical_count < _MIN_TYPICAL_SAMPLES:
            self._typical_count += 1
            error_s = service_time_s - self.typical_service_time_s
            weight = max(_TYPICAL_SMOOTHING, 1 / self._typical_count)
            self.typical_service_time_s += weight * error_s
        if self._typical_count < _MIN_TYPICAL_SAMPLES:
            return None
        return service_time_s / max(
            self.typical_service_time_s, _MIN_SERVICE_TIME_S
        )


def set_shares(ranks: Mapping[str, RankState]) -> None:
    """Set the share of each rank: above zero, and at most 1 in total."""
    shares = {
        name: max(_MIN_SHARE, rank.policy.guaranteed_share)
        for name, rank in ranks.items()
    }
    total = max(1, sum(shares.values()))
    for name, rank in ranks.items():
        rank.share = shares[name] / total


def slots_to_leave_free(
    borrower: RankState,
    others: Sequence[RankState],
    slots: int,
) -> int:
    """Return how many slots a borrower must leave free for other ranks.

    It need leave none for a rank that meets its target even if it waits for
    one of the borrower's slots. For the other ranks, it leaves their recent
    mean number in flight plus its typical fluctuation, up to their shares and
    minus what they have in flight.
    """
    interval_s = borrower.service_time_s / max(1, slots)
    time_critical = [
        other
        for other in others
        if other is not borrower
        and _SAFETY_INTERVALS * interval_s + other.service_time_s
        > other.target_s
    ]
    mean = sum(other.mean_in_flight for other in time_critical)
    max_slots = sum(math.ceil(other.share * slots) for other in time_critical)
    needed = min(
        max_slots, math.ceil(mean + _IN_FLIGHT_DEVIATIONS * math.sqrt(mean))
    )
    return max(0, needed - sum(other.in_flight for other in time_critical))
