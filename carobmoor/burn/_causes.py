"""Attribution of late, refused and lost answers to a cause."""

from types import MappingProxyType
from typing import Final, NamedTuple

from carobmoor.burn._messages import Cause
from carobmoor.outcomes import Code, Failure, NotRun

_STRAGGLER_FACTOR: Final = 4
_QUEUEING_CODES: Final = frozenset(
    (
        Code.DEADLINE_LAPSED,
        Code.DEADLINE_UNREACHABLE,
        Code.QUEUE_FULL,
        Code.RATE_LIMITED,
    ),
)
_ANSWER_STEPS: Final = frozenset(('awaiting_answer', 'answer_body'))
_CALLER_FAULT_CODES: Final = frozenset(
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
    """How the duration of one answer divides up."""

    duration_s: float
    queued_s: float
    service_s: float
    # Typical service time of this backend server.
    typical_service_s: float


def attribute_late_answer(timing: Timing) -> Cause:
    """Return the cause of a late answer: where most of its time was spent.

    Time that is neither queueing nor service counts as spent on a link.
    """
    other_s = timing.duration_s - timing.queued_s - timing.service_s
    if other_s > max(timing.queued_s, timing.service_s):
        return Cause.LINK
    if timing.queued_s > timing.service_s:
        return Cause.QUEUEING
    if timing.service_s > timing.typical_service_s * _STRAGGLER_FACTOR:
        return Cause.STRAGGLER
    return Cause.BACKEND_SERVER


def attribute_failure(failure: Failure, backend_server: str) -> Cause | None:
    """Return the cause of a failure, or `None` for a fault of the caller.

    `backend_server` is the address of the one on this instance as `ip:port`.
    An answer lost from any other peer counts as lost on a link.
    """
    if failure.code in _CALLER_FAULT_CODES:
        return None
    if failure.peer == backend_server:
        return Cause.BACKEND_SERVER
    if not isinstance(failure, NotRun):
        lost_in_answer = failure.step in _ANSWER_STEPS
        return Cause.LINK if lost_in_answer else Cause.BACKEND_SERVER
    if failure.code in _QUEUEING_CODES:
        return Cause.QUEUEING
    return _CAUSE_BY_CODE.get(failure.code, Cause.REFUSAL)
