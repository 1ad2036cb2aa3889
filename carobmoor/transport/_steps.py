"""Steps of a call, and its failure at one of them."""

import enum
from typing import Final, NamedTuple


class Step(enum.StrEnum):
    """The step that a call has reached."""

    CONNECT = 'connect'
    BEFORE_FIRST_BYTE = 'before_first_byte'
    REQUEST_BODY = 'request_body'
    AWAITING_ANSWER = 'awaiting_answer'
    ANSWER_BODY = 'answer_body'


_NOTHING_WRITTEN: Final = frozenset((Step.CONNECT, Step.BEFORE_FIRST_BYTE))


class CallFailure(NamedTuple):
    """Why and at which step a call failed; the peer is `ip:port`."""

    step: Step
    peer: str
    reason: str


def proves_not_run(failure: CallFailure) -> bool:
    """Return whether no byte of the request was written.

    After any later step the outcome is unknown, even if the connection was
    lost early.
    """
    return failure.step in _NOTHING_WRITTEN
