"""Rules about leaving nodes and the spread of versions."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from carobmoor.history import Event, EventKind
from proofs._types import Bounds, Breach, History

# Part of the detail of an unknown outcome whose deadline passed.
_DEADLINE_PASSED: Final = 'in time'


class Departure(NamedTuple):
    """A node's leaving, from the announcement to the end of the process."""

    leaving: Event
    # The end of the process; infinite if the history ends before it.
    end_s: float


def nothing_starts_after_leaving(
    history: History,
    bounds: Bounds,
) -> Sequence[Breach]:
    """Check that a leaving backend server starts nothing after the bound."""
    breaches: list[Breach] = []
    for departure in _departures(history):
        late = [
            event
            for event in history
            if event.kind is EventKind.STARTED
            and event.process == departure.leaving.subject
            and _is_late(event, departure, bounds)
        ]
        if late:
            detail = (
                f'{departure.leaving.process} left, '
                f'but {len(late)} started late'
            )
            breaches.append(
                Breach('leaving', detail, (departure.leaving, *late))
            )
    return breaches


def planned_stops_cut_nothing(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """Check that requests admitted by a leaving node are answered.

    Requests whose deadline passed are ignored, and so are leavings whose
    node or backend server was made to fail at any time: that failure may
    have cut the request.
    """
    failed = {
        event.subject for event in history if event.kind is EventKind.FAILED
    }
    unknown = {
        event.request_id: event
        for event in history
        if event.kind is EventKind.UNKNOWN
        and _DEADLINE_PASSED not in event.detail
    }
    breaches: list[Breach] = []
    for departure in _departures(history):
        if failed & {departure.leaving.process, departure.leaving.subject}:
            continue
        for event in history:
            is_own = event.process == departure.leaving.process
            cut = unknown.get(event.request_id)
            is_cut = cut is not None and cut.at_s >= departure.leaving.at_s
            if event.kind is EventKind.ADMITTED and is_own and is_cut:
                detail = f'{event.request_id} was cut by a planned stop'
                evidence = (event, departure.leaving, unknown[event.request_id])
                breaches.append(Breach('planned stop', detail, evidence))
    return breaches


def versions_never_fall(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Check that a node's version never falls, not even by a restart."""
    last: dict[str, Event] = {}
    breaches: list[Breach] = []
    for event in history:
        if event.kind is EventKind.IN_FORCE:
            before = last.get(event.process, event)
            if event.version < before.version:
                detail = f'{event.process} went back to version {event.version}'
                breaches.append(Breach('versions', detail, (before, event)))
            last[event.process] = event
    return breaches


def one_content_for_a_version(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """Check that a version has the same content wherever it is used.

    A node that runs a document rejected in favour of another one with the
    same version breaks the rule too.
    """
    first: dict[int, Event] = {}
    breaches: list[Breach] = []
    kinds = (EventKind.ACCEPTED, EventKind.IN_FORCE, EventKind.KEPT)
    for event in history:
        if event.kind in kinds:
            known = first.setdefault(event.version, event)
            if known.digest != event.digest:
                detail = f'version {event.version} has two different contents'
                breaches.append(Breach('versions', detail, (known, event)))
    return breaches


def accepted_is_kept(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Check that the store still has each accepted version at the end.

    Holds if the store could not be read then.
    """
    kept = {event.version for event in history if event.kind is EventKind.KEPT}
    if not kept:
        return ()
    return [
        Breach(
            'accepted',
            f'accepted version {event.version} is not in the store',
            (event,),
        )
        for event in history
        if event.kind is EventKind.ACCEPTED and event.version not in kept
    ]


def accepted_is_in_force_in_time(
    history: History,
    bounds: Bounds,
) -> Sequence[Breach]:
    """Check that reachable nodes have each accepted version within the bound.

    A node counts as unreachable while it or its links are made to fail, and
    after it began to leave; after a failure the bound runs from the mending.
    """
    if not history:
        return ()
    nodes = {
        event.process for event in history if event.kind is EventKind.IN_FORCE
    }
    accepted = [event for event in history if event.kind is EventKind.ACCEPTED]
    return [
        Breach(
            'in force',
            f'{node} did not have version {event.version} in time',
            (event, *_node_events(history, node)),
        )
        for event in accepted
        for node in sorted(nodes)
        if _is_overdue(history, node, event, bounds)
    ]


def _is_overdue(
    history: History,
    node: str,
    accepted: Event,
    bounds: Bounds,
) -> bool:
    due_s = accepted.at_s + bounds.in_force_s
    is_failing = False
    for event in _node_events(history, node):
        if event.at_s > due_s and not is_failing:
            break
        if (
            event.kind is EventKind.IN_FORCE
            and event.version >= accepted.version
        ):
            return False
        if event.kind in {EventKind.LEAVING, EventKind.STOPPED}:
            return False
        if event.kind is EventKind.FAILED:
            is_failing = True
        elif event.kind is EventKind.MENDED:
            is_failing = False
            due_s = max(due_s, event.at_s + bounds.in_force_s)
    return not is_failing and history[-1].at_s >= due_s


def _node_events(history: History, node: str) -> Sequence[Event]:
    own_kinds = {EventKind.IN_FORCE, EventKind.LEAVING, EventKind.STOPPED}
    fault_kinds = {EventKind.FAILED, EventKind.MENDED}
    return [
        event
        for event in history
        if (event.process == node and event.kind in own_kinds)
        or (event.subject == node and event.kind in fault_kinds)
    ]


def _departures(history: History) -> Iterator[Departure]:
    ends: defaultdict[str, list[float]] = defaultdict(list)
    for event in history:
        if event.kind is EventKind.STOPPED:
            ends[event.process].append(event.at_s)
        if event.kind is EventKind.FAILED:
            ends[event.subject].append(event.at_s)
    for event in history:
        if event.kind is EventKind.LEAVING:
            later = (at for at in ends[event.process] if at >= event.at_s)
            yield Departure(event, next(later, float('inf')))


def _is_late(event: Event, departure: Departure, bounds: Bounds) -> bool:
    after_s = departure.leaving.at_s + bounds.leaving_s
    return after_s < event.at_s <= departure.end_s
