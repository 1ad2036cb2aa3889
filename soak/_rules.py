"""The rules of the soak test, besides those of `proofs`."""

from collections.abc import Collection, Sequence
from typing import Final

from carobmoor.history import Event, EventKind
from proofs._checker import check
from proofs._types import Bounds, Breach, History

# Users require that a leaving backend server gets no new work after this.
_LEAVING_S: Final = 2.0
# How the detail of a named rate limit begins, in requests per second.
LIMIT_DETAIL: Final = 'rate limit '
_LIMIT_WINDOW_S: Final = 4
_LIMIT_FACTOR: Final = 1.5
_LIMIT_ALLOWANCE: Final = 5
# A limit binds from then on, after it was first named.
_LIMIT_KNOWN_S: Final = 1
_CONNECTION_CLOSED: Final = 'connection closed by the peer'
# A failure of its node this close to a request's end may have cut it.
_CUT_WINDOW_S: Final = 8.0
_NO_ANSWER: Final = 'no answer in time'
_NO_ROUTE: Final = 'status 404'
# Details of the recorded failures that keep a node from answering.
_BLOCKING_FAILURES: Final = frozenset(('killed', 'paused'))


def check_history(history: History) -> Sequence[Breach]:
    """Return all breaches in a history; empty if every rule holds."""
    ordered = sorted(history, key=lambda event: event.at_s)
    return [
        *check(ordered, Bounds(leaving_s=_LEAVING_S)),
        *unanswered(ordered),
        *silent(ordered),
        *denied(ordered),
        *own_ends(ordered),
        *beyond_limit(ordered),
    ]


def unanswered(history: History) -> Sequence[Breach]:
    """Check that a request that ran is answered, unless its node was killed.

    A node that is told to stop still answers the requests it has accepted.
    """
    started = {
        event.request_id for event in history if event.kind is EventKind.STARTED
    }
    return [
        Breach(
            'unanswered',
            f'{event.request_id} ran, but its connection was closed',
            (event,),
        )
        for event in history
        if event.kind is EventKind.UNKNOWN
        and event.detail == _CONNECTION_CLOSED
        and event.request_id in started
        and not _was_failing(history, event, {'killed'})
    ]


def silent(history: History) -> Sequence[Breach]:
    """Check that a running node answers each request, however late."""
    return [
        Breach(
            'silent',
            f'{event.request_id} got no answer from a running node',
            (event,),
        )
        for event in history
        if event.kind is EventKind.UNKNOWN
        and event.detail == _NO_ANSWER
        and not _was_failing(history, event)
    ]


def denied(history: History) -> Sequence[Breach]:
    """Check that no request is answered as having no route: all have one."""
    return [
        Breach(
            'denied',
            f'{event.request_id} was answered as having no route: '
            f'{event.detail}',
            (event,),
        )
        for event in history
        if event.kind is EventKind.UNKNOWN and event.detail == _NO_ROUTE
    ]


def own_ends(history: History) -> Sequence[Breach]:
    """Check that no node ends by itself."""
    return [
        Breach('own end', f'{event.process} {event.detail}', (event,))
        for event in history
        if event.kind is EventKind.STOPPED
    ]


def beyond_limit(history: History) -> Sequence[Breach]:
    """Check the starts at a server while it names a rate limit.

    In any four seconds it gets one and a half times what the limit allows,
    and five requests more, at most.
    """
    breaches: list[Breach] = []
    for place, event in enumerate(history):
        if not _names_limit(event):
            continue
        starts_s = _starts_until_end(event, history[place:])
        per_s = int(event.detail.removeprefix(LIMIT_DETAIL))
        allowed = _LIMIT_FACTOR * per_s * _LIMIT_WINDOW_S + _LIMIT_ALLOWANCE
        for first_s in starts_s:
            until_s = first_s + _LIMIT_WINDOW_S
            count = sum(first_s <= start_s < until_s for start_s in starts_s)
            if count > allowed:
                detail = f'{count} starts, {allowed} allowed: {event.detail}'
                breaches.append(Breach('limit', detail, (event,)))
                break
    return breaches


def _names_limit(event: Event) -> bool:
    is_limit = event.detail.startswith(LIMIT_DETAIL)
    return is_limit and event.kind is EventKind.FAILED


def _starts_until_end(limit: Event, later: History) -> Sequence[float]:
    """Return when requests started at a server while it named a limit."""
    starts_s: list[float] = []
    for event in later:
        if event.kind is EventKind.MENDED and event.subject == limit.subject:
            break
        is_start = event.kind is EventKind.STARTED
        is_counted = event.at_s > limit.at_s + _LIMIT_KNOWN_S
        if is_start and is_counted and event.process == limit.subject:
            starts_s.append(event.at_s)
    return starts_s


def _was_failing(
    history: History,
    cut: Event,
    failures: Collection[str] = _BLOCKING_FAILURES,
) -> bool:
    return any(
        event.kind in {EventKind.FAILED, EventKind.MENDED}
        and event.subject == cut.subject
        and event.detail in failures
        and abs(cut.at_s - event.at_s) < _CUT_WINDOW_S
        for event in history
    )
