"""What a caller's side knows of the candidates of each service."""

from collections.abc import Sequence
from typing import Final

from carobmoor.routing._messages import Candidate, LoadReport
from carobmoor.transport import Address

_SMOOTHING: Final = 0.2


class CandidateState:
    """The knowledge about one candidate, most of it stale."""

    def __init__(self, candidate: Candidate) -> None:
        """Start without a report."""
        self.candidate = candidate
        self.own_in_flight = 0
        self.report: LoadReport | None = None
        self.reported_at_s = float(0)
        self.latency_s = float(0)
        self.success_rate = float(1)


class RoutingState:
    """The candidates of every service, by service and address."""

    def __init__(self, region: str, availability_zone: str) -> None:
        """Start without candidates, at a place from which to prefer."""
        self.region = region
        self.availability_zone = availability_zone
        self.services: dict[str, dict[Address, CandidateState]] = {}

    def of(self, service: str) -> Sequence[CandidateState]:
        """Give the candidates of a service."""
        return tuple(self.services.get(service, {}).values())

    def find(self, service: str, address: Address) -> CandidateState | None:
        """Give one candidate, if it still is one."""
        return self.services.get(service, {}).get(address)


def keep_candidates(
    state: RoutingState,
    service: str,
    candidates: Sequence[Candidate],
) -> None:
    """Replace the candidates of a service; knowledge of the kept ones stays."""
    known = state.services.get(service, {})
    state.services[service] = {
        candidate.address: known.get(candidate.address)
        or CandidateState(candidate)
        for candidate in candidates
    }


def call_started(candidate: CandidateState) -> None:
    """Count a call on its way to a candidate."""
    candidate.own_in_flight += 1


def call_ended(
    candidate: CandidateState,
    latency_s: float,
    succeeded: bool,
) -> None:
    """Learn from a call that ended; refusals are no successes."""
    candidate.own_in_flight -= 1
    gap = float(succeeded) - candidate.success_rate
    candidate.success_rate += _SMOOTHING * gap
    if succeeded:
        gap_s = latency_s - candidate.latency_s
        candidate.latency_s += _SMOOTHING * gap_s


def note_report(
    candidate: CandidateState,
    report: LoadReport,
    now_s: float,
) -> None:
    """Keep the newest report of a candidate."""
    candidate.report = report
    candidate.reported_at_s = now_s
