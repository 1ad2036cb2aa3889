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


class AdmissionPolicy(NamedTuple):
    """The limits of one backend server."""

    slots: int
    queue_limit: int
    ranks: Sequence[RankPolicy]


class Arrival(NamedTuple):
    """A request that asks for a slot."""

    request_id: str
    rank: str
    caller: str
    # How many calls stand above this one in its chain.
    depth: int
    # On the monotonic clock of this process.
    deadline_s: float


class Verdict(enum.Enum):
    """What was decided about an arrival."""

    STARTED = 'started'
    QUEUED = 'queued'


class Drop(NamedTuple):
    """A queued request that is refused after all; it did not run."""

    arrival: Arrival
    code: Code
