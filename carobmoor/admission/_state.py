"""Admission state: the running requests and the queues of the ranks."""

from typing import Final, NamedTuple

from carobmoor.admission._cold_starts import ColdStarts
from carobmoor.admission._limit import LimitState
from carobmoor.admission._messages import AdmissionPolicy, Arrival
from carobmoor.admission._ranks import RankState, set_shares
from carobmoor.admission._rate_limit import RateLimit

_SMOOTHING: Final = 0.1


class Running(NamedTuple):
    """A request that holds a slot."""

    arrival: Arrival
    # Expected slot time, charged to the caller at the start, and to the credit
    # of the rank if it had any.
    charged_s: float
    is_on_credit: bool
    # Whether its start used the last slot under the limit.
    is_saturated: bool
    # Whether its start counted towards the server's rate limit.
    is_rate_counted: bool


class AdmissionState:
    """The slots and queues of one backend server.

    Only the functions of this package change it, and never across an `await`.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        """Start with every slot free and every queue empty."""
        self.policy = policy
        # In the order of the policy: most urgent first.
        self.ranks: dict[str, RankState] = {}
        self.running: dict[int, Running] = {}
        self.concurrency_limit = LimitState(policy.slots)
        self.rate_limit = RateLimit()
        self.cold_starts = ColdStarts()
        self.service_time_s = float(0)
        self.queued_total = 0
        # Expected service times of requests that wait, outside the queues, for
        # the server to be fast again.
        self.held_work_s = float(0)
        # When the waiting requests were last checked for those without hope.
        self.backlog_checked_at_s: float = 0
        self.last_number = 0
        self.last_finish_s = float(0)
        # Until then, slots are reserved for calls deep in their chains.
        self.nested_reserve_until_s = float(0)
        self.depths_seen_at_s: dict[int, float] = {}
        self.replace_policy(policy)

    @property
    def in_flight_total(self) -> int:
        """The number of requests that hold a slot."""
        return len(self.running)

    def may_start(self, now_s: float) -> bool:
        """Return whether the server may get one more request now."""
        return self.rate_limit.may_start(now_s) and self.cold_starts.may_start(
            now_s
        )

    def has_start_limit(self, now_s: float) -> bool:
        """Return whether the starts of waiting requests are limited."""
        return bool(self.rate_limit.per_s) or self.cold_starts.is_limited(now_s)

    def start_wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long the limits delay one that has so many ahead."""
        return max(
            self.rate_limit.wait_s(ahead, now_s),
            self.cold_starts.wait_s(ahead, now_s),
        )

    def start_interval_s(self, now_s: float) -> float:
        """Return the time between two starts; 0 if it is not limited."""
        named_per_s = self.rate_limit.per_s
        return max(
            1 / named_per_s if named_per_s else 0,
            self.cold_starts.interval_s(now_s),
        )

    def replace_policy(self, policy: AdmissionPolicy) -> None:
        """Apply a new policy; waiting and running requests stay.

        A removed rank whose requests still wait or run remains, with the
        smallest share that `set_shares` gives. A later policy drops it.
        """
        self.policy = policy
        self.concurrency_limit.replace_slots(policy.slots)
        old = self.ranks
        self.ranks = {}
        for declared in policy.ranks:
            rank = old.pop(declared.name, None) or RankState(declared)
            rank.policy = declared
            self.ranks[declared.name] = rank
        for name, rank in old.items():
            if rank.in_flight or len(rank.queue):
                rank.policy = rank.policy._replace(guaranteed_share=0)
                self.ranks[name] = rank
        set_shares(self.ranks)

    def record_service_time(self, service_time_s: float) -> None:
        """Update the mean over all ranks, which load reports use."""
        error_s = service_time_s - self.service_time_s
        self.service_time_s += _SMOOTHING * error_s
