"""What the end of an attempt means: for its call, and for its candidate."""

import enum
from typing import Final

from result import Err, Ok

from carobmoor.client._messages import Call
from carobmoor.client._request import Sent
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.routing import Outcome
from carobmoor.transport import Step

_FIRST_ERROR_STATUS: Final = 500
# Fails when an owner hands out no grant to mint a ticket from.
_TICKET_STEP: Final = 'ticket'
_REFUSED_FOR_GOOD: Final = frozenset(
    (
        Code.BAD_REQUEST,
        Code.BODY_TOO_LARGE,
        Code.DEADLINE_LAPSED,
        Code.UNKNOWN_RANK,
        Code.BODY_STALLED,
        Code.CONFLICT,
        Code.HEADERS_TOO_LARGE,
        Code.NO_CANDIDATE,
    ),
)
# Refusals that tell of a candidate in trouble rather than of the request.
_TROUBLE: Final = frozenset(
    (
        Code.QUEUE_FULL,
        Code.DEADLINE_LAPSED,
        Code.DEADLINE_UNREACHABLE,
        Code.NOT_READY,
        Code.NOT_OWNER,
        Code.NOT_SENT,
    ),
)


class Next(enum.Enum):
    """What may follow an attempt."""

    DONE = 'done'
    # Another attempt, if the budget has one.
    RETRY = 'retry'
    # Another attempt in any case: the owner leaves and ran nothing.
    BOUNCE = 'bounce'


def is_good(sent: Sent) -> bool:
    """Tell whether an attempt ended with an answer that is no error."""
    return isinstance(sent, Ok) and not _is_error(sent)


def next_step(call: Call, sent: Sent) -> Next:
    """Tell what may follow an attempt of a call.

    A call that may not be repeated is sent again only on proof that it did
    not run. A streamed body can't be sent again once an owner was reached.
    """
    if isinstance(sent, Ok):
        may_repeat = _is_error(sent) and call.repeatable
        whole = call.more_body is None
        return Next.RETRY if may_repeat and whole else Next.DONE
    failure = sent.err_value
    if call.ticket is not None:
        # A ticket of the caller's own names the one owner.
        return Next.DONE
    if call.more_body is not None and not _is_before_body(failure):
        return Next.DONE
    if isinstance(failure, Unknown):
        return Next.RETRY if call.repeatable else Next.DONE
    if failure.code is Code.LEAVING:
        return Next.BOUNCE
    return Next.DONE if failure.code in _REFUSED_FOR_GOOD else Next.RETRY


def settle(before: Sent, after: Sent) -> Sent:
    """Give the one of two ends of a call that is told to its caller.

    A refusal never hides that another attempt may have run. The answer
    that is not told is abandoned.
    """
    kept, dropped = before, after
    if _weight(after) >= _weight(before):
        kept, dropped = after, before
    abandon(dropped)
    return kept


def abandon(sent: Sent) -> None:
    """Close the connection of an answer that nobody reads."""
    if isinstance(sent, Ok):
        sent.ok_value.abandon('another attempt was told')


def outcome_of(sent: Sent) -> Outcome:
    """Tell what an attempt says about its candidate."""
    if isinstance(sent, Ok):
        return Outcome.FAILED if _is_error(sent) else Outcome.SUCCEEDED
    return _outcome_of_failure(sent.err_value)


def _is_before_body(failure: Failure) -> bool:
    is_early = failure.step in {Step.CONNECT.value, _TICKET_STEP}
    return failure.code is Code.NOT_SENT and is_early


def _outcome_of_failure(failure: Failure) -> Outcome:
    if _is_before_body(failure):
        return Outcome.UNREACHABLE
    if isinstance(failure, NotRun) and failure.code not in _TROUBLE:
        return Outcome.NEUTRAL
    return Outcome.FAILED


def _weight(sent: Sent) -> int:
    if isinstance(sent, Err):
        failure = sent.err_value
        if isinstance(failure, Unknown):
            return 2
        return int(failure.code is not Code.NO_CANDIDATE)
    return 3 if _is_error(sent) else 4


def _is_error(sent: Ok) -> bool:
    return sent.ok_value.head.status >= _FIRST_ERROR_STATUS
