"""Load reports, candidates, and what the choice is asked."""

import enum
from collections.abc import Container
from typing import Final, NamedTuple

import msgspec

from carobmoor.transport import Address

REPORT_HEADER: Final = b'x-carobmoor-report'
_PERMILLE: Final = 1000


class LoadReport(NamedTuple):
    """What an owner tells of its load with every answer."""

    slots: int
    in_flight: int
    queued: int
    service_time_us: int
    is_leaving: bool
    # The share of recent requests that the backend server answered well.
    success_permille: int = _PERMILLE
    # How long ago the backend server last ended a request.
    outcome_age_ms: int = 0

    @property
    def success_rate(self) -> float:
        """The share of recent successes as the owner saw them."""
        return self.success_permille / _PERMILLE


class Candidate(NamedTuple):
    """A node that owns a backend server of the wanted service."""

    address: Address
    region: str
    availability_zone: str
    incarnation: int = 0
    # The membership was told that this node doesn't answer.
    is_suspect: bool = False


class Outcome(enum.Enum):
    """What a call that ended tells about its candidate."""

    SUCCEEDED = 'succeeded'
    # Not run by the owner's word, lost, or answered with a server's error.
    FAILED = 'failed'
    # Nobody listens at the candidate's address.
    UNREACHABLE = 'unreachable'
    # Cancelled here, or refused for a fault of the request itself.
    NEUTRAL = 'neutral'


class CallEnd(NamedTuple):
    """How a call ended, and whether its latency says anything."""

    outcome: Outcome
    rank: str = ''
    # False where the latency depends on a body that the caller streamed.
    is_timed: bool = True


class ChoiceQuery(NamedTuple):
    """A call for which an owner is to be chosen."""

    tried: Container[Address] = ()
    rank: str = ''
    # What the request would take of a link between regions.
    request_bytes: int = 0
    # Trials of a candidate that failed before go to repeatable calls.
    is_repeatable: bool = False
    # False keeps the call in the own region, whatever its budget.
    may_leave_region: bool = True


_decoder: Final = msgspec.json.Decoder(LoadReport)


def encode_report(report: LoadReport) -> bytes:
    """Write a report as the content of its header."""
    return msgspec.json.encode(report)


def decode_report(content: str) -> LoadReport | None:
    """Read a report; `None` when it is absent or unreadable."""
    if not content:
        return None
    try:
        report = _decoder.decode(content)
    except msgspec.DecodeError:
        return None
    return report if report.slots > 0 else None
