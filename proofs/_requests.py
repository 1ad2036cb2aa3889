"""The rules about requests and their answers."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from carobmoor.history import Event, Kind
from proofs._messages import Bounds, Breach, History

_OUTCOMES: Final = frozenset((Kind.ANSWERED, Kind.REFUSED, Kind.UNKNOWN))


def whole_and_own_answers(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """An answer is what a backend server ended this very request with."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        ended = {event.digest for event in events if event.kind is Kind.ENDED}
        for event in events:
            if event.kind is Kind.ANSWERED and event.digest not in ended:
                detail = f'{event.request_id} got an answer not its own'
                breaches.append(Breach('answers', detail, events))
    return breaches


def whole_requests(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """What a backend server ended had arrived as it was sent."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        asked = {event.asked for event in events if event.kind is Kind.SENT}
        for event in events:
            is_short = event.kind is Kind.ENDED and event.asked not in asked
            if is_short and asked and '' not in asked:
                detail = f'{event.request_id} ran with another body'
                breaches.append(Breach('requests', detail, events))
    return breaches


def not_run_never_started(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """A request of which each sending was refused was never started."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        outcomes = {event.kind for event in events if event.kind in _OUTCOMES}
        sent = [event for event in events if event.kind is Kind.SENT]
        ends = [event for event in events if event.kind in _OUTCOMES]
        all_told = len(sent) <= len(ends)
        if all_told and outcomes == {Kind.REFUSED} and _starts(events):
            detail = f'{events[0].request_id} was "not run" and ran'
            breaches.append(Breach('not run', detail, events))
    return breaches


def at_most_one_start(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """A request that may not be repeated was started once at most."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        sent = [event for event in events if event.kind is Kind.SENT]
        is_unique = bool(sent) and not any(event.repeatable for event in sent)
        starts = _starts(events)
        if is_unique and len(starts) > 1:
            detail = f'{starts[0].request_id} ran {len(starts)} times'
            breaches.append(Breach('at most once', detail, events))
    return breaches


def every_call_ends(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Every sending ends as an answer, a refusal or an unknown outcome."""
    breaches: list[Breach] = []
    for events in _by_request(history):
        sent = [event for event in events if event.kind is Kind.SENT]
        ends = [event for event in events if event.kind in _OUTCOMES]
        if len(sent) > len(ends):
            detail = f'{sent[0].request_id} never ended for its caller'
            breaches.append(Breach('every call ends', detail, events))
    return breaches


def slots_never_exceeded(history: History, bounds: Bounds) -> Sequence[Breach]:
    """A backend server runs no more at once than its slots."""
    return [
        Breach(
            'slots',
            f'{event.process} ran {event.running} at once',
            (event,),
        )
        for event in history
        if event.kind is Kind.STARTED
        and event.running > bounds.slots.get(event.process, event.running)
    ]


def probes_within_budget(history: History, bounds: Bounds) -> Sequence[Breach]:
    """No process spends more probes in a second than its budget."""
    breaches: list[Breach] = []
    times: defaultdict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.kind is Kind.PROBED:
            recent = times[event.process]
            recent.append(event)
            while event.at_s - recent[0].at_s > 1:
                recent.pop(0)
            if len(recent) > bounds.probes_per_s:
                detail = f'{event.process} sent {len(recent)} in a second'
                breaches.append(Breach('measuring', detail, tuple(recent)))
                recent.clear()
    return breaches


def _by_request(history: History) -> Iterator[Sequence[Event]]:
    grouped: defaultdict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.request_id:
            grouped[event.request_id].append(event)
    told: Mapping[str, Sequence[Event]] = grouped
    yield from told.values()


def _starts(events: Sequence[Event]) -> Sequence[Event]:
    return [event for event in events if event.kind is Kind.STARTED]
