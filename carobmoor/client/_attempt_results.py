"""Decides what the result of an attempt means for its call and candidate."""

import enum
from typing import Final

from result import Err, Ok

from carobmoor.client._messages import Call
from carobmoor.client._request import SendResult
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.routing import CallOutcome
from carobmoor.transport import Step

_MIN_SERVER_ERROR_STATUS: Final = 500
# The step at which an attempt fails for lack of a ticket grant.
_TICKET_STEP: Final = 'ticket'
_FINAL_CODES: Final = frozenset(
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
# Refusals caused by the state of the candidate, not by the request.
_CANDIDATE_FAULT_CODES: Final = frozenset(
    (
        Code.QUEUE_FULL,
        Code.DEADLINE_LAPSED,
        Code.DEADLINE_UNREACHABLE,
        Code.NOT_READY,
        Code.NOT_OWNER,
        Code.NOT_SENT,
    ),
)


class FollowUp(enum.Enum):
    """What may follow an attempt."""

    DONE = 'done'
    # Another attempt, if the retry budget allows it.
    RETRY = 'retry'
    # Another attempt outside the budget: a leaving owner did not run it.
    RETRY_UNBUDGETED = 'retry_unbudgeted'


def is_success(send_result: SendResult) -> bool:
    """Return whether an attempt got an answer below status 500."""
    return isinstance(send_result, Ok) and not _is_server_error(send_result)


def follow_up_of(call: Call, send_result: SendResult) -> FollowUp:
    """Return what may follow an attempt of a call.

    A call that is not repeatable is sent again only on proof that it did not
    run. A streamed body can't be sent again once an owner was reached.
    """
    if isinstance(send_result, Ok):
        may_resend = _is_server_error(send_result) and call.repeatable
        is_unstreamed = call.more_body is None
        return FollowUp.RETRY if may_resend and is_unstreamed else FollowUp.DONE
    failure = send_result.err_value
    if call.ticket is not None:
        # A ticket supplied by the caller is valid at one owner only.
        return FollowUp.DONE
    if call.more_body is not None and not _is_before_body(failure):
        return FollowUp.DONE
    if isinstance(failure, Unknown):
        return FollowUp.RETRY if call.repeatable else FollowUp.DONE
    if failure.code is Code.LEAVING:
        return FollowUp.RETRY_UNBUDGETED
    return FollowUp.DONE if failure.code in _FINAL_CODES else FollowUp.RETRY


def pick_result(before: SendResult, after: SendResult) -> SendResult:
    """Return the result of two attempts that the caller receives.

    A refusal never replaces a result of an attempt that may have run. The
    answer that is not returned is abandoned.
    """
    kept, dropped = before, after
    if _precedence(after) >= _precedence(before):
        kept, dropped = after, before
    abandon_answer(dropped)
    return kept


def abandon_answer(send_result: SendResult) -> None:
    """Close the connection of an answer that is not going to be read."""
    if isinstance(send_result, Ok):
        send_result.ok_value.abandon(
            'the result of another attempt was returned'
        )


def candidate_outcome(send_result: SendResult) -> CallOutcome:
    """Return what an attempt shows about its candidate."""
    if isinstance(send_result, Ok):
        return (
            CallOutcome.FAILED
            if _is_server_error(send_result)
            else CallOutcome.SUCCEEDED
        )
    return _failure_outcome(send_result.err_value)


def _is_before_body(failure: Failure) -> bool:
    is_early = failure.step in {Step.CONNECT.value, _TICKET_STEP}
    return failure.code is Code.NOT_SENT and is_early


def _failure_outcome(failure: Failure) -> CallOutcome:
    if _is_before_body(failure):
        return CallOutcome.UNREACHABLE
    if (
        isinstance(failure, NotRun)
        and failure.code not in _CANDIDATE_FAULT_CODES
    ):
        return CallOutcome.NEUTRAL
    return CallOutcome.FAILED


def _precedence(send_result: SendResult) -> int:
    if isinstance(send_result, Err):
        failure = send_result.err_value
        if isinstance(failure, Unknown):
            return 2
        return int(failure.code is not Code.NO_CANDIDATE)
    return 3 if _is_server_error(send_result) else 4


def _is_server_error(send_result: Ok) -> bool:
    return send_result.ok_value.head.status >= _MIN_SERVER_ERROR_STATUS
