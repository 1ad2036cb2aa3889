"""Admission policy, arrivals and decisions."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from carobmoor.outcomes import Code


class RankPolicy(NamedTuple):
    """The target, worth and share of one rank."""

    name: str
    # An answer within this latency counts as good.
    target_latency_ms: int
    # The value of one good answer, relative to the other ranks.
    worth: float
    # The share of slots that other ranks can't take, even in a flood.
    guaranteed_share: float


class AdmissionTuning(NamedTuple):
    """Tuning parameters of admission; each has a default."""

    # Lower bound of the adaptive concurrency limit.
    least_slots: int = 1
    # How much credit a rank may accrue, as time at its guaranteed share.
    share_burst_ms: int = 100
    # The backend server counts as slow beyond this multiple of its typical
    # service time.
    slowdown_ratio: float = 1.5
    # A longer pause of the node's event loop is counted and logged.
    pause_bound_ms: int = 250


class AdmissionPolicy(NamedTuple):
    """The limits and ranks of one backend server."""

    slots: int
    queue_limit: int
    # Most urgent first; the order decides which rank with credit goes first.
    ranks: Sequence[RankPolicy]
    tuning: AdmissionTuning = AdmissionTuning()
    # Whether requests are refused as soon as their time is too short for the
    # work ahead of them.
    refuses_early: bool = False


class Arrival(NamedTuple):
    """A request for a slot."""

    request_id: str
    rank: str
    caller: str
    # Number of calls above this one in its call chain.
    depth: int
    # On the monotonic clock of this process.
    deadline_s: float
    # An answer until then counts as good, on the same clock. `None` means the
    # target latency of the rank, counted from the arrival.
    target_at_s: float | None = None
    # Expected service time; 0 if only that of its rank is known.
    service_time_s: float = 0
    # The share of its caller relative to other callers of the rank. `None` if
    # callers are equal and what they used is forgotten while they are idle.
    weight: float | None = None


class Verdict(enum.Enum):
    """The decision about an accepted arrival."""

    STARTED = 'started'
    QUEUED = 'queued'


class Drop(NamedTuple):
    """A queued request that was removed and refused; it did not run."""

    number: int
    arrival: Arrival
    code: Code


class SlotGrant(NamedTuple):
    """The right to hold one slot; `number` identifies its request."""

    number: int
    arrival: Arrival


class Placement(NamedTuple):
    """The decision about an arrival, and the number that identifies it.

    `evicted` is the queued request that lost its place to this arrival.
    """

    verdict: Verdict
    number: int
    evicted: Drop | None = None
