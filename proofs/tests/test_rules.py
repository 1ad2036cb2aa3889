"""Tests of the rules on hand-written histories."""

from collections.abc import Sequence

from nose2.tools import params

from carobmoor.history import Event, EventKind
from proofs._checker import RULES, check
from proofs._types import Bounds

NODE = '10.0.0.1:7101'
BACKEND = '10.0.0.1:7201'
OTHER = '10.0.0.2:7201'
BOUNDS = Bounds({BACKEND: 2}, in_force_s=7, leaving_s=3, probes_per_s=2)

History = Sequence[Event]


def event_at(at_s: float, process: str, kind: EventKind, **fields) -> Event:
    """Build an event."""
    return Event(at_s, process, kind, **fields)


def sent(at_s: float = 0, repeatable: bool = False) -> Event:
    """Build the event that a caller sends request `a`."""
    return event_at(
        at_s,
        'caller',
        EventKind.SENT,
        request_id='a',
        asked='b0',
        repeatable=repeatable,
    )


def started(at_s: float = 1, process: str = BACKEND, running: int = 1) -> Event:
    """Build the event that a backend server starts request `a`."""
    return event_at(
        at_s, process, EventKind.STARTED, request_id='a', running=running
    )


def ended(digest: str = 'd1', asked: str = 'b0') -> Event:
    """Build the event that the backend server completes request `a`."""
    return event_at(
        2, BACKEND, EventKind.ENDED, request_id='a', digest=digest, asked=asked
    )


def answered(digest: str = 'd1', at_s: float = 3) -> Event:
    """Build the event that the caller gets its answer."""
    return event_at(
        at_s, 'caller', EventKind.ANSWERED, request_id='a', digest=digest
    )


def refused(at_s: float = 3) -> Event:
    """Build the event that the caller gets a "not run" refusal."""
    return event_at(at_s, 'caller', EventKind.REFUSED, request_id='a')


def unknown(at_s: float = 3, detail: str = 'closed') -> Event:
    """Build the event that the caller gets an unknown outcome."""
    return event_at(
        at_s, 'caller', EventKind.UNKNOWN, request_id='a', detail=detail
    )


def leaving(at_s: float = 0) -> Event:
    """Build the event that the node announces its leaving."""
    return event_at(at_s, NODE, EventKind.LEAVING, subject=BACKEND)


def stopped(at_s: float) -> Event:
    """Build the event that the node's process ends by itself."""
    return event_at(at_s, NODE, EventKind.STOPPED, subject=BACKEND)


def admitted(at_s: float = 0) -> Event:
    """Build the event that the node admits request `a`."""
    return event_at(
        at_s, NODE, EventKind.ADMITTED, request_id='a', subject=BACKEND
    )


def in_force(at_s: float, version: int, digest: str = 'c') -> Event:
    """Build the event that the node puts a version in force."""
    return event_at(
        at_s, NODE, EventKind.IN_FORCE, version=version, digest=digest
    )


def accepted(at_s: float, version: int, digest: str = 'c') -> Event:
    """Build the event that an operator's version is accepted."""
    return event_at(
        at_s, 'operator', EventKind.ACCEPTED, version=version, digest=digest
    )


def kept(version: int) -> Event:
    """Build the event that the store has a version at the end."""
    return event_at(99, 'operator', EventKind.KEPT, version=version, digest='c')


def failed(at_s: float, subject: str = NODE) -> Event:
    """Build the event that a process is made to fail."""
    return event_at(at_s, 'runner', EventKind.FAILED, subject=subject)


def mended(at_s: float, subject: str = NODE) -> Event:
    """Build the event that a process is mended."""
    return event_at(at_s, 'runner', EventKind.MENDED, subject=subject)


def probed(at_s: float) -> Event:
    """Build the event that the node sends a probe."""
    return event_at(at_s, NODE, EventKind.PROBED)


END = event_at(60, 'runner', EventKind.MENDED, subject='nobody')
RUN = (sent(), started(), ended(), answered())

CORRECT_HISTORIES: Sequence[tuple[str, History]] = (
    ('nothing', ()),
    ('a whole run', RUN),
    ('refused', (sent(), refused())),
    ('lost before its start', (sent(), unknown())),
    ('lost after its start', (sent(), started(), unknown())),
    (
        'refused, sent again, answered',
        (sent(), refused(1), sent(1), started(), ended(), answered()),
    ),
    (
        'repeatable, run twice',
        (
            sent(repeatable=True),
            started(),
            started(process=OTHER),
            ended(),
            answered(),
        ),
    ),
    ('as many as slots', (sent(), started(running=2), ended(), answered())),
    (
        'started within the bound',
        (leaving(), sent(), started(2), answered(), ended()),
    ),
    (
        'started after a restart',
        (leaving(), stopped(1), in_force(5, 1), sent(), *RUN[1:], refused()),
    ),
    (
        'started after a kill while leaving',
        (leaving(), failed(1), sent(5), started(6), ended(), answered(at_s=7)),
    ),
    (
        'cut by a kill, not by the stop',
        (sent(), admitted(), leaving(1), failed(2), started(), unknown()),
    ),
    (
        'lapsed during a stop',
        (sent(), admitted(), leaving(1), unknown(detail='no answer in time')),
    ),
    (
        'lost before a stop',
        (sent(), admitted(), started(), unknown(3), leaving(4)),
    ),
    ('in force in time', (accepted(1, 1), in_force(7, 1), END)),
    (
        'unreachable, then in time',
        (
            in_force(0, 1),
            failed(1),
            accepted(2, 2),
            mended(30),
            in_force(36, 2),
            END,
        ),
    ),
    ('left in the meantime', (in_force(0, 1), accepted(1, 2), leaving(3), END)),
    ('the history ends early', (in_force(0, 1), accepted(1, 2), leaving(7))),
    ('kept', (accepted(1, 1), in_force(2, 1), kept(1))),
    ('restarted at its version', (in_force(0, 2), in_force(9, 2))),
    ('probes in turn', (probed(0), probed(1), probed(2.5), probed(3.1))),
)

VIOLATING_HISTORIES: Sequence[tuple[str, History, str]] = (
    (
        'another answer',
        (sent(), started(), ended(), answered('d2')),
        'whole_and_own_answers',
    ),
    ('no run', (sent(), answered()), 'whole_and_own_answers'),
    (
        'a short body ran',
        (sent(), started(), ended(asked='b1'), answered()),
        'whole_requests',
    ),
    ('ran after all', (sent(), refused(), started(9)), 'not_run_never_started'),
    (
        'each of two refused, one ran',
        (sent(), refused(1), sent(1), started(2), refused(3)),
        'not_run_never_started',
    ),
    (
        'ran twice',
        (sent(), started(), started(2, OTHER), ended(), answered()),
        'at_most_one_start',
    ),
    (
        'sent again after unknown, ran twice',
        (sent(), started(), unknown(), sent(3), started(4), unknown(5)),
        'at_most_one_start',
    ),
    ('never ended', (sent(), started()), 'every_call_ends'),
    (
        'one too many',
        (sent(), started(running=3), ended(), answered()),
        'slots_never_exceeded',
    ),
    (
        'started late',
        (leaving(), sent(4), started(5), ended(), answered(at_s=6)),
        'nothing_starts_after_leaving',
    ),
    (
        'cut by a stop',
        (sent(), admitted(), started(), leaving(2), unknown(3), stopped(4)),
        'planned_stops_cut_nothing',
    ),
    ('fell', (in_force(0, 2), in_force(1, 1)), 'versions_never_fall'),
    (
        'fell over a restart',
        (in_force(0, 2), leaving(1), stopped(2), in_force(3, 1)),
        'versions_never_fall',
    ),
    (
        'two contents',
        (accepted(0, 1, 'c1'), in_force(1, 1, 'c2')),
        'one_content_for_a_version',
    ),
    (
        'two operators accepted',
        (accepted(0, 1, 'c1'), accepted(1, 1, 'c2'), in_force(1, 1, 'c1')),
        'one_content_for_a_version',
    ),
    ('lost', (accepted(0, 1), accepted(1, 2), kept(1)), 'accepted_is_kept'),
    (
        'late',
        (in_force(0, 1), accepted(1, 2), in_force(9, 2)),
        'accepted_is_in_force_in_time',
    ),
    (
        'never',
        (in_force(0, 1), accepted(1, 2), END),
        'accepted_is_in_force_in_time',
    ),
    (
        'late after the mending',
        (
            in_force(0, 1),
            failed(1),
            accepted(2, 2),
            mended(30),
            in_force(38, 2),
        ),
        'accepted_is_in_force_in_time',
    ),
    ('too many probes', (probed(0), probed(0.4), probed(0.9)), 'probes_within'),
)


@params(*CORRECT_HISTORIES)
def test_correct_history_has_no_breach(name, history):
    """No rule reports a breach in a correct history."""
    assert check(history, BOUNDS) == [], name


@params(*VIOLATING_HISTORIES)
def test_only_violated_rule_reports_a_breach(name, history, rule):
    """Exactly the rule that the history violates reports a breach."""
    found = {
        rule_name
        for rule_name, check_rule in RULES.items()
        if check_rule(history, BOUNDS)
    }
    assert len(found) == 1, (name, found)
    assert found.pop().startswith(rule), name


def test_every_rule_has_a_violating_history():
    """Each rule has a history that violates it."""
    named = {rule for _, _, rule in VIOLATING_HISTORIES}
    assert all(rule_name.startswith(tuple(named)) for rule_name in RULES)
