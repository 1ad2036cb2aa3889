"""The policy of admission, the requests it judges and its verdicts."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from carobmoor.outcomes import Code


class RankPolicy(NamedTuple):
    """What one rank of work is owed; ranks are listed most urgent first."""

    name: str
    # The latency within which an answer counts as good.
    target_latency_ms: int
    # The value of one good answer, relative to the other ranks.
    worth: float
    # The share of slots that a flood of other ranks can't take.
    guaranteed_share: float


class AdmissionTuning(NamedTuple):
    """How admission follows the backend server; each has a default."""

    # The adaptive limit on requests in flight never falls below this.
    least_slots: int = 1
    # How much unused share a rank may save up, as time at that share.
    share_burst_ms: int = 100
    # The backend server counts as slow beyond this multiple of its usual
    # service time.
    slowdown_ratio: float = 1.5
    # A longer stop of the node's own event loop counts as a pause.
    pause_bound_ms: int = 250


class AdmissionPolicy(NamedTuple):
    """The limits of one backend server."""

    slots: int
    queue_limit: int
    ranks: Sequence[RankPolicy]
    tuning: AdmissionTuning = AdmissionTuning()


class Arrival(NamedTuple):
    """A request that asks for a slot."""

    request_id: str
    rank: str
    caller: str
    # How many calls stand above this one in its chain.
    depth: int
    # On the monotonic clock of this process.
    deadline_s: float
    # Until then an answer is good, on the same clock. `None` means the target
    # of the rank, counted from the arrival.
    target_at_s: float | None = None


class Verdict(enum.Enum):
    """What was decided about an arrival."""

    STARTED = 'started'
    QUEUED = 'queued'


class Drop(NamedTuple):
    """A queued request that is refused after all; it did not run."""

    number: int
    arrival: Arrival
    code: Code


class Grant(NamedTuple):
    """A slot that is held; `number` names the holder until it finishes."""

    number: int
    arrival: Arrival


class Placement(NamedTuple):
    """Where an arrival was put, under the number that names it from now on.

    `evicted` lost its place in the queue to this arrival.
    """

    verdict: Verdict
    number: int
    evicted: Drop | None = None
