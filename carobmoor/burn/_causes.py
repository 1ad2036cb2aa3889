"""Which cause an answer that was late, refused or lost is put down to."""

from types import MappingProxyType
from typing import Final, NamedTuple

from carobmoor.burn._messages import Cause
from carobmoor.outcomes import Code, Failure, NotRun

_STRAGGLER_FACTOR: Final = 4
_QUEUEING_CODES: Final = frozenset(
    (Code.DEADLINE_LAPSED, Code.DEADLINE_UNREACHABLE, Code.QUEUE_FULL),
)
_BACKEND_STEPS: Final = frozenset(('awaiting_answer', 'answer_body'))
_FAULTS_OF_CALLERS: Final = frozenset(
    (
        Code.ALREADY_RUN,
        Code.BAD_REQUEST,
        Code.BODY_STALLED,
        Code.BODY_TOO_LARGE,
        Code.CALLER_GONE,
        Code.CONFLICT,
        Code.HEADERS_TOO_LARGE,
        Code.UNKNOWN_RANK,
        Code.UNKNOWN_SERVICE,
    ),
)
_CAUSE_BY_CODE: Final = MappingProxyType(
    {Code.NOT_SENT: Cause.LINK, Code.NO_CANDIDATE: Cause.BACKEND_SERVER},
)


class Timing(NamedTuple):
    """Where the time of one answer went."""

    took_s: float
    queued_s: float
    served_s: float
    # What serving usually takes at this backend server.
    usual_service_s: float


def cause_of_lateness(timing: Timing) -> Cause:
    """Put down an answer that came late to where most of its time went."""
    elsewhere_s = timing.took_s - timing.queued_s - timing.served_s
    if elsewhere_s > max(timing.queued_s, timing.served_s):
        return Cause.LINK
    if timing.queued_s > timing.served_s:
        return Cause.QUEUEING
    if timing.served_s > timing.usual_service_s * _STRAGGLER_FACTOR:
        return Cause.STRAGGLER
    return Cause.BACKEND_SERVER


def cause_of_failure(failure: Failure, backend_server: str) -> Cause | None:
    """Put down a failure; `None` when it is the caller's own fault.

    `backend_server` is the address beside this node as `ip:port`; what is
    lost with another peer is lost on a link.
    """
    if failure.code in _FAULTS_OF_CALLERS:
        return None
    if failure.peer == backend_server:
        return Cause.BACKEND_SERVER
    if not isinstance(failure, NotRun):
        lost_here = failure.step in _BACKEND_STEPS
        return Cause.LINK if lost_here else Cause.BACKEND_SERVER
    if failure.code in _QUEUEING_CODES:
        return Cause.QUEUEING
    return _CAUSE_BY_CODE.get(failure.code, Cause.REFUSAL)
