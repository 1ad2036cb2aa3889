"""What each rank is owed, has used and may borrow.

A rank saves up slot time at its guaranteed share and spends it as its
requests run. While it has some saved it is owed the next free slot. What no
owed rank wants is lent, to whom a slot is worth the most.
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
# A slot comes free surely enough within this many mean gaps.
_SURE_GAPS: Final = 3
# How many square roots of a mean number in flight its swings come to.
_SWINGS: Final = 1.5
_FIRST_SERVICE_TIME_S: Final = 0.005


class RankState:
    """The queue of one rank, its saved slot time and its service times."""

    def __init__(self, policy: RankPolicy) -> None:
        """Start idle, with nothing saved."""
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
        """The latency within which an answer counts as good."""
        return self.policy.target_latency_ms / _MS_PER_S

    def save(self, slots: int, burst_s: float, now_s: float) -> None:
        """Add the slot time that the share has brought since the last time.

        What is saved is bounded by the burst, or by half the target of a
        rank that can wait longer: it goes after the more urgent ones, and
        would lose what they delay.
        """
        owed_slots = self.share * slots
        gained_s = owed_slots * max(0, now_s - self.saved_at_s)
        most_s = owed_slots * max(burst_s, self.target_s / 2)
        self.saved_s = min(most_s, self.saved_s + gained_s)
        self.saved_at_s = now_s

    def hold(self, change: int, now_s: float) -> None:
        """Count slots taken or given back, and keep their recent mean."""
        kept = math.exp((self._mean_at_s - now_s) / _MEAN_LIFETIME_S)
        self.mean_in_flight = self.in_flight + kept * (
            self.mean_in_flight - self.in_flight
        )
        self._mean_at_s = now_s
        self.in_flight += change

    def learn(self, service_time_s: float, is_saturated: bool) -> float | None:
        """Learn a service time; gives it as a multiple of the usual one.

        `None` means that too little is known yet of what is usual.

        The usual one is learned while slots are free, since a full backend
        server may be slow because it is full.
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
    """Give each rank its share; none is left without, and they fit in one."""
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
    """How many slots a borrower must leave free for the others.

    A borrower that gives slots back soon enough for the others' targets need
    leave none. Beside any other borrower, enough stay free for what the
    others used of late and its usual swings, within their shares.
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
