"""Data types of routing: load reports, candidates, calls and queries."""

import enum
from collections.abc import Container
from typing import Final, NamedTuple

import msgspec

from carobmoor.decoding import Count, decoder_of
from carobmoor.transport import Address

REPORT_HEADER: Final = b'x-carobmoor-report'
_PERMILLE: Final = 1000


class LoadReport(NamedTuple):
    """The load that an owner reports with every response."""

    slots: Count
    in_flight: Count
    queued: Count
    service_time_us: Count
    is_leaving: bool
    # The share of recent requests that succeeded at the backend server.
    success_permille: Count = _PERMILLE
    # Time since the backend server last ended a request.
    outcome_age_ms: Count = 0

    @property
    def success_rate(self) -> float:
        """The reported share of recent successes, from 0 to 1."""
        return self.success_permille / _PERMILLE


class Candidate(NamedTuple):
    """A node that owns a backend server of the requested service."""

    address: Address
    region: str
    availability_zone: str
    incarnation: int = 0
    # The membership was notified that this node does not respond.
    is_suspect: bool = False


class CallOutcome(enum.Enum):
    """What the end of a call says about the candidate."""

    SUCCEEDED = 'succeeded'
    # Reported by the owner as not run, lost, or answered by a server error.
    FAILED = 'failed'
    # Nothing listens at the candidate's address.
    UNREACHABLE = 'unreachable'
    # Cancelled on this side, or refused because the request is invalid.
    NEUTRAL = 'neutral'


class CallResult(NamedTuple):
    """How a call ended, and whether its latency is meaningful."""

    outcome: CallOutcome
    rank: str = ''
    # False if the latency depends on a body that the caller streamed.
    is_timed: bool = True


class ChoiceQuery(NamedTuple):
    """The call for which an owner node is to be chosen."""

    tried: Container[Address] = ()
    rank: str = ''
    # Bytes that the request would send over a link between regions.
    request_bytes: int = 0
    # Trials of ejected candidates use repeatable calls first.
    is_repeatable: bool = False
    # If false, the call stays in its region, whatever the budget.
    may_leave_region: bool = True


_decode: Final = decoder_of(LoadReport)


def encode_report(report: LoadReport) -> bytes:
    """Encode a report as the value of its header."""
    return msgspec.json.encode(report)


def decode_report(content: str) -> LoadReport | None:
    """Decode a report; return `None` if it is absent or invalid."""
    if not content:
        return None
    try:
        report = _decode(content)
    except msgspec.DecodeError:
        return None
    return report if report.slots > 0 else None
