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
_LEAST_SHARE: Final = 0.01
_SMOOTHING: Final = 0.05
_USUAL_SMOOTHING: Final = 0.005
_FEWEST_USUAL: Final = 200
_START_S: Final = float(0)
_INSTANT_S: Final = 0.000001
_MEAN_LIFETIME_S: Final = 5
# A slot almost surely becomes free within this many mean intervals.
_SURE_GAPS: Final = 3
# Fluctuation of the number in flight, in square roots of its mean.
_SWINGS: Final = 1.5
_FIRST_SERVICE_TIME_S: Final = 0.005


class RankState:
    """The queue, credit and service times of one rank."""

    def __init__(self, policy: RankPolicy) -> None:
        """Start idle and without credit."""
        self.policy = policy
        self.queue = RankQueue()
        self.in_flight = 0
        self.share = float(0)
        self.saved_s = float(0)
        self.saved_at_s = _START_S
        self.service_time_s = _FIRST_SERVICE_TIME_S
        self.usual_service_time_s = _FIRST_SERVICE_TIME_S
        self._finished = 0
        self._usual_count = 0
        self.mean_in_flight = _START_S
        self._mean_at_s = _START_S

    @property
    def target_s(self) -> float:
        """The target latency in seconds."""
        return self.policy.target_latency_ms / _MS_PER_S

    def save(self, slots: int, burst_s: float, now_s: float) -> None:
        """Accrue credit for the time since the last call.

        The credit is capped at `burst_s` of the share, or at half the target
        latency if that is longer: a rank with a long target is served after
        more urgent ones, and would lose the credit for the time they delay it.
        """
        owed_slots = self.share * slots
        gained_s = owed_slots * max(0, now_s - self.saved_at_s)
        most_s = owed_slots * max(burst_s, self.target_s / 2)
        self.saved_s = min(most_s, self.saved_s + gained_s)
        self.saved_at_s = now_s

    def hold(self, change: int, now_s: float) -> None:
        """Change the number in flight and update its decaying mean."""
        kept = math.exp((self._mean_at_s - now_s) / _MEAN_LIFETIME_S)
        self.mean_in_flight = self.in_flight + kept * (
            self.mean_in_flight - self.in_flight
        )
        self._mean_at_s = now_s
        self.in_flight += change

    def learn(self, service_time_s: float, is_saturated: bool) -> float | None:
        """Record a service time; return it as a multiple of the typical one.

        Returns `None` until enough samples are known.

        After the first samples, the typical service time is updated only
        while slots are free, since a saturated backend server may be slow
        because it is saturated.
        """
        self._finished += 1
        gap_s = service_time_s - self.service_time_s
        weight = max(_SMOOTHING, 1 / self._finished)
        self.service_time_s += weight * gap_s
        if not is_saturated or self._usual_count < _FEWEST_USUAL:
            self._usual_count += 1
            gap_s = service_time_s - self.usual_service_time_s
            weight = max(_USUAL_SMOOTHING, 1 / self._usual_count)
            self.usual_service_time_s += weight * gap_s
        if self._usual_count < _FEWEST_USUAL:
            return None
        return service_time_s / max(self.usual_service_time_s, _INSTANT_S)


def set_shares(ranks: Mapping[str, RankState]) -> None:
    """Set the share of each rank: above zero, and at most 1 in total."""
    wanted = {
        name: max(_LEAST_SHARE, rank.policy.guaranteed_share)
        for name, rank in ranks.items()
    }
    total = max(1, sum(wanted.values()))
    for name, rank in ranks.items():
        rank.share = wanted[name] / total


def slots_to_leave(
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
    gap_s = borrower.service_time_s / max(1, slots)
    hurried = [
        other
        for other in others
        if other is not borrower
        and _SURE_GAPS * gap_s + other.service_time_s > other.target_s
    ]
    mean = sum(other.mean_in_flight for other in hurried)
    most = sum(math.ceil(other.share * slots) for other in hurried)
    wanted = min(most, math.ceil(mean + _SWINGS * math.sqrt(mean)))
    return max(0, wanted - sum(other.in_flight for other in hurried))
