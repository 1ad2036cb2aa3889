"""The two kinds of failure, and the codes for their reasons."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple


class Code(enum.StrEnum):
    """The reason of a failure; values are stable across releases."""

    BAD_REQUEST = 'bad_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_STALLED = 'body_stalled'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_RANK = 'unknown_rank'
    UNAUTHORISED = 'unauthorised'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    DEADLINE_LAPSED = 'deadline_lapsed'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    QUEUE_FULL = 'queue_full'
    # More work waits ahead of it than fits into its time.
    BACKLOG = 'backlog'
    # The rate limit that the backend server names leaves no start in time.
    RATE_LIMITED = 'rate_limited'
    # The allotment of the team, over all nodes, is used up.
    OVER_ALLOTMENT = 'over_allotment'
    # No node has answered that keeps the team's allotment.
    ALLOTMENT_UNKNOWN = 'allotment_unknown'
    # The backend server is currently much slower than is typical for it.
    SLOW = 'slow'
    # The availability zone of the backend server is evacuated.
    EVACUATED = 'evacuated'
    CALLER_GONE = 'caller_gone'
    LEAVING = 'leaving'
    NOT_READY = 'not_ready'
    NO_CANDIDATE = 'no_candidate'
    NOT_OWNER = 'not_owner'
    NOT_SENT = 'not_sent'
    ALREADY_RUN = 'already_run'
    TICKET_REFUSED = 'ticket_refused'
    QUARANTINED = 'quarantined'
    # The configuration that allows its key is not proven to be the newest.
    NOT_PROVEN = 'not_proven'
    STORE_UNAVAILABLE = 'store_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'


_STATUS_BY_CODE: Final[Mapping[Code, int]] = MappingProxyType(
    {
        Code.BAD_REQUEST: 400,
        Code.HEADERS_TOO_LARGE: 431,
        Code.BODY_TOO_LARGE: 413,
        Code.BODY_STALLED: 408,
        Code.UNKNOWN_SERVICE: 404,
        Code.UNKNOWN_RANK: 400,
        Code.UNAUTHORISED: 401,
        Code.FORBIDDEN: 403,
        Code.NOT_FOUND: 404,
        Code.CONFLICT: 409,
        Code.DEADLINE_LAPSED: 408,
        Code.ALREADY_RUN: 409,
        Code.TICKET_REFUSED: 409,
        Code.OVER_ALLOTMENT: 429,
        Code.OUTCOME_UNKNOWN: 502,
    }
)
_STATUS_NOT_RUN: Final = 503


class NotRun(NamedTuple):
    """The request did not run; sending it again is safe.

    `step` and `peer` say where it was refused; `peer` is `ip:port`.
    """

    code: Code
    step: str
    peer: str
    detail: str = ''


class Unknown(NamedTuple):
    """The request may have run; only its caller may decide what to do.

    `step` and `peer` say where the call was lost; `peer` is `ip:port`. `code`
    is more specific if more is known: `ALREADY_RUN` if the request has run,
    `TICKET_REFUSED` if this copy of it has not.
    """

    step: str
    peer: str
    detail: str = ''
    code: Code = Code.OUTCOME_UNKNOWN


Failure = NotRun | Unknown


def http_status_of(failure: Failure) -> int:
    """Return the HTTP status that reports a failure to the caller.

    Errors of the request itself are 4xx, and other refusals are 503. An unknown
    outcome is 502, or 409 if its code is `ALREADY_RUN` or `TICKET_REFUSED`.
    """
    return _STATUS_BY_CODE.get(failure.code, _STATUS_NOT_RUN)
