"""The rules about processes that leave and versions that spread."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from carobmoor.history import Event, Kind
from proofs._messages import Bounds, Breach, History

# How the library words that a deadline passed.
_LATE: Final = 'in time'


class Life(NamedTuple):
    """One leaving of a node: from its announcement to its end."""

    leaving: Event
    # The end of the process; infinite where the history ends first.
    until_s: float


def nothing_starts_after_leaving(
    history: History,
    bounds: Bounds,
) -> Sequence[Breach]:
    """A leaving backend server starts nothing after the bound."""
    breaches: list[Breach] = []
    for life in _leavings(history):
        late = [
            event
            for event in history
            if event.kind is Kind.STARTED
            and event.process == life.leaving.subject
            and _is_late(event, life, bounds)
        ]
        if late:
            detail = f'{life.leaving.process} left, {len(late)} started after'
            breaches.append(Breach('leaving', detail, (life.leaving, *late)))
    return breaches


def planned_stops_cut_nothing(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """What a leaving node had admitted ends with an answer.

    Left out are requests whose deadline passed, and those whose node or
    backend server was made to fail at any time: the failure may have cut
    them.
    """
    failed = {event.subject for event in history if event.kind is Kind.FAILED}
    unknown = {
        event.request_id: event
        for event in history
        if event.kind is Kind.UNKNOWN and _LATE not in event.detail
    }
    breaches: list[Breach] = []
    for life in _leavings(history):
        if failed & {life.leaving.process, life.leaving.subject}:
            continue
        for event in history:
            is_own = event.process == life.leaving.process
            cut = unknown.get(event.request_id)
            is_cut = cut is not None and cut.at_s >= life.leaving.at_s
            if event.kind is Kind.ADMITTED and is_own and is_cut:
                detail = f'{event.request_id} was cut by a planned stop'
                shown = (event, life.leaving, unknown[event.request_id])
                breaches.append(Breach('planned stop', detail, shown))
    return breaches


def versions_never_fall(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """The version in force at a node only rises, also over its restarts."""
    last: dict[str, Event] = {}
    breaches: list[Breach] = []
    for event in history:
        if event.kind is Kind.IN_FORCE:
            before = last.get(event.process, event)
            if event.version < before.version:
                detail = f'{event.process} fell to {event.version}'
                breaches.append(Breach('versions', detail, (before, event)))
            last[event.process] = event
    return breaches


def one_content_for_a_version(
    history: History,
    _bounds: Bounds,
) -> Sequence[Breach]:
    """A version means the same everywhere, and nobody runs a rejected one."""
    first: dict[int, Event] = {}
    breaches: list[Breach] = []
    kinds = (Kind.ACCEPTED, Kind.IN_FORCE, Kind.KEPT)
    for event in history:
        if event.kind in kinds:
            known = first.setdefault(event.version, event)
            if known.digest != event.digest:
                detail = f'version {event.version} has two contents'
                breaches.append(Breach('versions', detail, (known, event)))
    return breaches


def accepted_is_kept(history: History, _bounds: Bounds) -> Sequence[Breach]:
    """Every accepted version is in the store's record at the end."""
    kept = {event.version for event in history if event.kind is Kind.KEPT}
    if not kept:
        return ()
    return [
        Breach('accepted', f'version {event.version} was lost', (event,))
        for event in history
        if event.kind is Kind.ACCEPTED and event.version not in kept
    ]


def accepted_is_in_force_in_time(
    history: History,
    bounds: Bounds,
) -> Sequence[Breach]:
    """Every reachable node has an accepted version within the bound.

    A node counts as unreachable while it or its links are made to fail, and
    after it began to leave; the bound runs from the mending.
    """
    if not history:
        return ()
    nodes = {event.process for event in history if event.kind is Kind.IN_FORCE}
    accepted = [event for event in history if event.kind is Kind.ACCEPTED]
    return [
        Breach(
            'in force',
            f'{node} had no version {event.version} in time',
            (event, *_of_node(history, node)),
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
    for event in _of_node(history, node):
        if event.at_s > due_s and not is_failing:
            break
        if event.kind is Kind.IN_FORCE and event.version >= accepted.version:
            return False
        if event.kind in {Kind.LEAVING, Kind.STOPPED}:
            return False
        if event.kind is Kind.FAILED:
            is_failing = True
        elif event.kind is Kind.MENDED:
            is_failing = False
            due_s = max(due_s, event.at_s + bounds.in_force_s)
    return not is_failing and history[-1].at_s >= due_s


def _of_node(history: History, node: str) -> Sequence[Event]:
    told = {Kind.IN_FORCE, Kind.LEAVING, Kind.STOPPED}
    done = {Kind.FAILED, Kind.MENDED}
    return [
        event
        for event in history
        if (event.process == node and event.kind in told)
        or (event.subject == node and event.kind in done)
    ]


def _leavings(history: History) -> Iterator[Life]:
    ends: defaultdict[str, list[float]] = defaultdict(list)
    for event in history:
        if event.kind is Kind.STOPPED:
            ends[event.process].append(event.at_s)
        if event.kind is Kind.FAILED:
            ends[event.subject].append(event.at_s)
    for event in history:
        if event.kind is Kind.LEAVING:
            later = (at for at in ends[event.process] if at >= event.at_s)
            yield Life(event, next(later, float('inf')))


def _is_late(event: Event, life: Life, bounds: Bounds) -> bool:
    after_s = life.leaving.at_s + bounds.leaving_s
    return after_s < event.at_s <= life.until_s
