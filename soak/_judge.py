"""The rules of a soak beside those of `proofs`."""

from collections.abc import Collection, Sequence
from typing import Final

from carobmoor.history import Event, Kind
from proofs._checker import check
from proofs._messages import Bounds, Breach, History

# A leaving backend server gets no new work after so long, as users ask.
_LEAVING_S: Final = 2.0
_CLOSED: Final = 'connection closed by the peer'
# How long before a request's end a failure of its node may have cut it.
_NEAR_S: Final = 8.0
_NO_ANSWER: Final = 'no answer in time'
_DENIED: Final = 'status 404'
# What keeps a node from answering, as the soak notes it.
_STILL: Final = frozenset(('killed', 'paused'))


def judge(history: History) -> Sequence[Breach]:
    """Give every broken promise; none means that all held."""
    ordered = sorted(history, key=lambda event: event.at_s)
    return [
        *check(ordered, Bounds(leaving_s=_LEAVING_S)),
        *unanswered(ordered),
        *silent(ordered),
        *denied(ordered),
        *own_ends(ordered),
    ]


def unanswered(history: History) -> Sequence[Breach]:
    """A request that ran ends with an answer unless its node was killed.

    A node that is told to stop answers what it has taken.
    """
    started = {
        event.request_id for event in history if event.kind is Kind.STARTED
    }
    return [
        Breach('unanswered', f'{event.request_id} was cut', (event,))
        for event in history
        if event.kind is Kind.UNKNOWN
        and event.detail == _CLOSED
        and event.request_id in started
        and not _was_failing(history, event, {'killed'})
    ]


def silent(history: History) -> Sequence[Breach]:
    """A node that runs answers each request, long past its deadline or not."""
    return [
        Breach('silent', f'{event.request_id} had no answer', (event,))
        for event in history
        if event.kind is Kind.UNKNOWN
        and event.detail == _NO_ANSWER
        and not _was_failing(history, event)
    ]


def denied(history: History) -> Sequence[Breach]:
    """No proper request is told that it has no route."""
    return [
        Breach('denied', f'{event.request_id}: {event.detail}', (event,))
        for event in history
        if event.kind is Kind.UNKNOWN and event.detail == _DENIED
    ]


def own_ends(history: History) -> Sequence[Breach]:
    """No node ends unless it is told to."""
    return [
        Breach('own end', f'{event.process} {event.detail}', (event,))
        for event in history
        if event.kind is Kind.STOPPED
    ]


def _was_failing(
    history: History,
    cut: Event,
    failures: Collection[str] = _STILL,
) -> bool:
    return any(
        event.kind in {Kind.FAILED, Kind.MENDED}
        and event.subject == cut.subject
        and event.detail in failures
        and abs(cut.at_s - event.at_s) < _NEAR_S
        for event in history
    )
