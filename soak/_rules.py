"""The rules of the soak test, besides those of `proofs`."""

from collections.abc import Collection, Sequence
from typing import Final

from carobmoor.history import Event, EventKind
from proofs._checker import check
from proofs._types import Bounds, Breach, History

# Users require that a leaving backend server gets no new work after this.
_LEAVING_S: Final = 2.0
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
