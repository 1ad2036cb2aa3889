"""What the calling side knows about the candidates of each service."""

import math
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

from carobmoor.retries import TokenBucket
from carobmoor.routing._messages import Candidate, LoadReport
from carobmoor.routing._policy import DEFAULT_ROUTING_POLICY, RoutingPolicy
from carobmoor.routing._success_rate import SuccessRate
from carobmoor.transport import Address

_SUCCESS_SMOOTHING: Final = 0.2
# Distances: same availability zone, same region, other region.
SAME_ZONE: Final = 0
SAME_REGION: Final = 1
OTHER_REGION: Final = 2
# How many seconds of a rank's budget may be spent at once.
_PAID_BURST_S: Final = 1


class Ejection:
    """The ejection of a candidate, which then gets no calls except trials."""

    def __init__(self, now_s: float, required_successes: int) -> None:
        """Eject now, until `required_successes` trials in a row succeed."""
        self.last_trial_at_s = now_s
        # When the next trial began to wait for a report.
        self.report_wait_started_s: float | None = None
        self.calls_since_trial = 0
        self.required_successes = required_successes
        self.consecutive_successes = 0


class CandidateState:
    """What is known about one candidate, most of it stale."""

    def __init__(self, node: Candidate) -> None:
        """Start without a report; `replace_candidates` sets the distance."""
        self.node = node
        self.distance = SAME_REGION
        # Start times of the own calls in flight by call number, oldest first.
        self.started_s: dict[int, float] = {}
        self.report: LoadReport | None = None
        self.reported_at_s = float(0)
        # Requests of other callers at the time of the report.
        self.others_in_flight = 0
        self.is_leaving = False
        self.latency_s = float(0)
        # Smoothed latency relative to the typical one of the rank.
        self.latency_ratio = float(1)
        self.latency_count = 0
        self.latency_at_s = float(0)
        self.success = SuccessRate(_SUCCESS_SMOOTHING)
        # Comparison with the typical candidate, as last updated.
        self.slowness = float(1)
        self.reported_slowness = float(1)
        self.relative_success = float(1)
        self.ejection: Ejection | None = None
        self.ramp_started_s: float | None = None
        self.probed_at_s = float(0)

    @property
    def address(self) -> Address:
        """The address at which the candidate listens."""
        return self.node.address

    @property
    def own_in_flight(self) -> int:
        """The number of own calls that the candidate has not answered."""
        return len(self.started_s)


class TypicalValues(NamedTuple):
    """Typical values among the candidates of a service."""

    success_rate: float = 1
    # 0 while no owner has reported one.
    service_time_us: int = 0
    # By distance: the typical latency ratio of all candidates that are at
    # least as far away; 0 if unknown.
    latency_ratios: Sequence[float] = (0, 0, 0)


class ServiceState:
    """The candidates of one service, and what they have in common."""

    def __init__(self) -> None:
        """Start without candidates."""
        self.candidates: dict[Address, CandidateState] = {}
        self.last_called_at_s = float(0)
        self.last_repeatable_at_s = float(0)
        self.typical = TypicalValues()
        self.typical_updated_at_s = -math.inf
        # Natural logarithm of the typical latency in seconds, by rank.
        self.typical_log_latency_s: dict[str, float] = {}


class RoutingState:
    """The candidates of all services, by service and address."""

    def __init__(
        self,
        region: str,
        availability_zone: str,
        policy: RoutingPolicy = DEFAULT_ROUTING_POLICY,
    ) -> None:
        """Start without candidates, in a region and availability zone.

        Without a region every candidate counts as one of the same region.
        """
        self.region = region
        self.availability_zone = availability_zone
        self.policy = policy
        self.services: dict[str, ServiceState] = {}
        self.paid_link_budgets: dict[str, TokenBucket] = {}
        self.calls_started = 0
        self.counts: defaultdict[str, float] = defaultdict(float)

    def candidates_of(self, service: str) -> Sequence[CandidateState]:
        """Return the candidates of a service."""
        service_state = self.services.get(service)
        return (
            ()
            if service_state is None
            else tuple(service_state.candidates.values())
        )

    def find_candidate(
        self, service: str, address: Address
    ) -> CandidateState | None:
        """Return the candidate at an address, or `None` if there is none."""
        service_state = self.services.get(service)
        return (
            None
            if service_state is None
            else service_state.candidates.get(address)
        )

    def paid_link_budget(self, rank: str) -> TokenBucket:
        """Return the budget of a rank for links between regions."""
        bucket = self.paid_link_budgets.get(rank)
        if bucket is None:
            bytes_per_s = self.policy.paid_bytes_per_s(rank)
            bucket = TokenBucket(bytes_per_s * _PAID_BURST_S, bytes_per_s)
            self.paid_link_budgets[rank] = bucket
        return bucket

    def replace_policy(self, policy: RoutingPolicy) -> None:
        """Apply a new policy; the budgets for links between regions restart."""
        if policy != self.policy:
            self.policy = policy
            self.paid_link_budgets = {}


def replace_candidates(
    state: RoutingState,
    service: str,
    candidates: Sequence[Candidate],
    now_s: float = 0,
) -> None:
    """Replace the candidates of a service.

    What is known about the remaining ones is kept. A candidate that is new or
    has restarted ramps up from a small share; the first candidates of a
    service do not.
    """
    service_state = state.services.get(service)
    if service_state is None:
        service_state = ServiceState()
        state.services[service] = service_state
    old_candidates = service_state.candidates
    service_state.candidates = {
        candidate.address: _keep_or_create(old_candidates, candidate, now_s)
        for candidate in candidates
    }
    for kept in service_state.candidates.values():
        kept.distance = _distance_of(state, kept.node)


def _distance_of(state: RoutingState, candidate: Candidate) -> int:
    if not state.region:
        return SAME_REGION
    if candidate.region != state.region:
        return OTHER_REGION
    is_same_zone = candidate.availability_zone == state.availability_zone
    return SAME_ZONE if is_same_zone else SAME_REGION


def _keep_or_create(
    old_candidates: dict[Address, CandidateState],
    candidate: Candidate,
    now_s: float,
) -> CandidateState:
    old = old_candidates.get(candidate.address)
    if old is None:
        new = CandidateState(candidate)
        new.ramp_started_s = now_s if old_candidates else None
        return new
    if old.node.incarnation == candidate.incarnation:
        old.node = candidate
        return old
    new = CandidateState(candidate)
    # Calls to the previous incarnation that are still in flight end here.
    new.started_s = old.started_s
    new.ramp_started_s = now_s
    return new
