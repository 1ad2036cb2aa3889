"""The steps of a call, and the failure that names one."""

import enum
from typing import Final, NamedTuple


class Step(enum.StrEnum):
    """How far a call had come when it failed."""

    CONNECT = 'connect'
    BEFORE_FIRST_BYTE = 'before_first_byte'
    REQUEST_BODY = 'request_body'
    AWAITING_ANSWER = 'awaiting_answer'
    ANSWER_BODY = 'answer_body'


_NOTHING_WRITTEN: Final = frozenset((Step.CONNECT, Step.BEFORE_FIRST_BYTE))


class CallFailure(NamedTuple):
    """A call that failed: the step, the peer as `ip:port` and the reason."""

    step: Step
    peer: str
    reason: str


def proves_not_run(failure: CallFailure) -> bool:
    """Tell whether no byte of the request was written.

    Any later step leaves the outcome unknown, however early the connection
    was lost.
    """
    return failure.step in _NOTHING_WRITTEN
