"""Rules about requests and their answers."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from carobmoor.history import Event, EventKind
from proofs._types import Bounds, Breach, History

_OUTCOMES: Final = frozenset(
    (EventKind.ANSWERED, EventKind.REFUSED, EventKind.UNKNOWN)
)


def whole_and_own_answers(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """Check that each answer is one that a run of that request returned."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        ended = {
            event.digest for event in events if event.kind is EventKind.ENDED
        }
        for event in events:
            if event.kind is EventKind.ANSWERED and event.digest not in ended:
                detail = (
                    f'{event.request_id} got an answer that no run of it gave'
                )
                breaches.append(Breach('answers', detail, events))
    return breaches


def whole_requests(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Check that each completed request arrived with the body as sent."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        asked = {
            event.asked for event in events if event.kind is EventKind.SENT
        }
        for event in events:
            has_other_body = (
                event.kind is EventKind.ENDED and event.asked not in asked
            )
            if has_other_body and asked and '' not in asked:
                detail = f'{event.request_id} ran with a body that was not sent'
                breaches.append(Breach('requests', detail, events))
    return breaches


def not_run_never_started(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """Check that a request was not started if every send was refused."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        outcomes = {event.kind for event in events if event.kind in _OUTCOMES}
        sent = [event for event in events if event.kind is EventKind.SENT]
        ends = [event for event in events if event.kind in _OUTCOMES]
        all_ended = len(sent) <= len(ends)
        if all_ended and outcomes == {EventKind.REFUSED} and _starts(events):
            detail = f'{events[0].request_id} was refused as "not run" but ran'
            breaches.append(Breach('not run', detail, events))
    return breaches


def at_most_one_start(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Check that a request that is not repeatable starts at most once."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        sent = [event for event in events if event.kind is EventKind.SENT]
        is_unique = bool(sent) and not any(event.repeatable for event in sent)
        starts = _starts(events)
        if is_unique and len(starts) > 1:
            detail = f'{starts[0].request_id} ran {len(starts)} times'
            breaches.append(Breach('at most once', detail, events))
    return breaches


def every_call_ends(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Check that each send ends in an answer, refusal or unknown outcome."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        sent = [event for event in events if event.kind is EventKind.SENT]
        ends = [event for event in events if event.kind in _OUTCOMES]
        if len(sent) > len(ends):
            detail = f'{sent[0].request_id} has sends without an outcome'
            breaches.append(Breach('every call ends', detail, events))
    return breaches


def slots_never_exceeded(history: History, bounds: Bounds) -> Sequence[Breach]:
    """Check that no backend server runs more requests than it has slots."""
    return [
        Breach(
            'slots',
            f'{event.process} ran {event.running} requests at once, '
            'more than its slots',
            (event,),
        )
        for event in history
        if event.kind is EventKind.STARTED
        and event.running > bounds.slots.get(event.process, event.running)
    ]


def probes_within_budget(history: History, bounds: Bounds) -> Sequence[Breach]:
    """Check that no process exceeds its probe budget within a second."""
    breaches: list[Breach] = []
    probes_by_process: defaultdict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.kind is EventKind.PROBED:
            recent = probes_by_process[event.process]
            recent.append(event)
            while event.at_s - recent[0].at_s > 1:
                recent.pop(0)
            if len(recent) > bounds.probes_per_s:
                detail = (
                    f'{event.process} sent {len(recent)} probes in a second, '
                    'more than its budget'
                )
                breaches.append(Breach('measuring', detail, tuple(recent)))
                recent.clear()
    return breaches


def _by_request(history: History) -> Iterator[Sequence[Event]]:
    grouped: defaultdict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.request_id:
            grouped[event.request_id].append(event)
    events_by_request: Mapping[str, Sequence[Event]] = grouped
    yield from events_by_request.values()


def _starts(events: Sequence[Event]) -> Sequence[Event]:
    return [event for event in events if event.kind is EventKind.STARTED]
