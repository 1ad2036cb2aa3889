"""Short soak runs with fixed seeds, and the rules on written histories."""

import asyncio
import base64
import json
import signal
import time
from typing import Any, NamedTuple

from nose2.tools import params

from carobmoor.history import Event, EventKind
from soak._faults import draw_faults
from soak._rules import check_history
from soak._run import run_seed
from soak._stage import SoakDeployment

SPAN_S = 4
NODES = 4
# Within this time a killed process has ended.
KILL_S = 0.02
KILLED_PROCESSES = 50


class Run(NamedTuple):
    """The arguments of a run, and the fault that it once found."""

    seed: int
    span_s: float
    nodes: int
    # Empty for a seed chosen for its many kinds of faults.
    found_fault: str = ''


RUNS = (
    Run(1, SPAN_S, NODES),
    Run(4, SPAN_S, NODES),
    Run(3, SPAN_S, NODES, 'nothing was read after a large body'),
    Run(6, 8, 5, 'a reload ended a node that was starting'),
    Run(29, 8, 5, 'a frequent request was quarantined for other crashes'),
    Run(507, 8, 5, 'the operator wrote an older version after a newer one'),
)


@params(*RUNS)
def test_seed_breaks_no_rule(seed, span_s, nodes, _found_fault):
    """What callers and backend servers observe breaks no rule."""
    verdict = asyncio.run(run_seed(seed, span_s, nodes))
    breaches = [(breach.rule, breach.detail) for breach in verdict.breaches]
    assert breaches == [], (breaches, verdict.logs)
    assert verdict.outcomes['answered'] > 0


# Guards against a verdict on nodes that follow an operator who, after a newer
# version, writes the older one that the store had not taken in time.
def test_delayed_publication_does_not_undo_newer():
    """Of two publications, whichever is written last holds the newest."""
    written = asyncio.run(_publish_delayed())
    assert all('"version": "r2"' in routes for routes in written), written


async def _publish_delayed() -> list[str]:
    """Publish twice, the first one delayed; return what was written."""
    written: list[str] = []
    newer_is_written = asyncio.Event()

    async def call_store(method: str, _target: str, body: bytes = b'') -> bytes:
        if method == 'GET':
            if deployment.version == 1:
                await newer_is_written.wait()
            return json.dumps({'rows': []}).encode()
        row = json.loads(body)['put'][0]
        written.append(base64.b64decode(row['value']).decode())
        return b'{}'

    deployment = SoakDeployment(0)
    deployment._call_store = call_store
    delayed = asyncio.create_task(deployment.publish())
    await asyncio.sleep(0)
    await deployment.publish()
    newer_is_written.set()
    await delayed
    return written


# Guards against nodes that are never ready again after a restart, because one
# row among those of the nodes is nested too deeply behind its last field.
def test_nodes_restart_beside_deep_row():
    """A node, and then the whole fleet, restart beside an odd row."""
    asyncio.run(_restart_beside_deep_row())


async def _restart_beside_deep_row() -> None:
    deep = b'[' * 100_000 + b']' * 100_000
    row = b'["127.9.9.9",8300,1,3,"north-a","svc","i-odd",4,false,0,%b]' % deep
    async with SoakDeployment(NODES) as deployment:
        await deployment.start_all()
        assert await deployment.write_row('nodes', '0-odd', lambda: row)
        for places in (deployment.places[:1], deployment.places):
            for place in places:
                deployment.send_signal(place, signal.SIGKILL)
            for place in places:
                await deployment.wait_ended(place)
                await deployment.start_place(place)
            await deployment.wait_until(deployment.all_ready, 'all are ready')


# Guards against a node that was killed and counts as ended by itself, because
# a second signal took its exit code from the task that waits for it.
def test_second_signal_keeps_exit_code():
    """Signals to processes that were just killed don't hide their end."""
    for _ in range(KILLED_PROCESSES):
        assert asyncio.run(_signal_twice()) == -signal.SIGKILL


async def _signal_twice() -> int:
    deployment = SoakDeployment(1)
    place = deployment.places[0]
    process = await asyncio.create_subprocess_exec('sleep', '60')
    deployment.processes[place.ip] = process
    deployment.send_signal(place, signal.SIGKILL)
    # Without a turn of the event loop, its end is not noticed meanwhile.
    until_s = time.monotonic() + KILL_S
    while time.monotonic() < until_s:
        deployment.send_signal(place, signal.SIGCONT)
    return await deployment.wait_ended(place)


def test_same_seed_draws_same_faults():
    """The same seed draws the same faults, another seed others."""
    assert draw_faults(7, SPAN_S, NODES) == draw_faults(7, SPAN_S, NODES)
    assert draw_faults(7, SPAN_S, NODES) != draw_faults(8, SPAN_S, NODES)


def _event(at_s: float, kind: EventKind, **fields: Any) -> Event:
    return Event(at_s, fields.pop('process', 'caller'), kind, **fields)


SENT = _event(1, EventKind.SENT, request_id='r', subject='ip')
STARTED = _event(2, EventKind.STARTED, request_id='r', process='i-1')
AGAIN = _event(3, EventKind.STARTED, request_id='r', process='i-2')
CUT = _event(
    4,
    EventKind.UNKNOWN,
    request_id='r',
    subject='ip',
    detail='connection closed by the peer',
)
REFUSED = _event(4, EventKind.REFUSED, request_id='r')
KILLED = _event(3, EventKind.FAILED, subject='ip', detail='killed')
OTHER_KILLED = _event(3, EventKind.FAILED, subject='other', detail='killed')
DENIED = _event(4, EventKind.UNKNOWN, request_id='r', detail='status 404')
LEFT = _event(0, EventKind.LEAVING, process='node of i-1', subject='i-1')
LATE = _event(2.5, EventKind.STARTED, request_id='r', process='i-1')
ENDED = _event(5, EventKind.STOPPED, process='pid 1', detail='code 1')
SILENT = CUT._replace(detail='no answer in time')
PAUSED = KILLED._replace(detail='paused')
LIMITED = _event(0, EventKind.FAILED, subject='i-1', detail='rate limit 2')
RAISED = LIMITED._replace(at_s=1.5, kind=EventKind.MENDED)
MANY = [LATE._replace(at_s=2 + step / 10) for step in range(18)]
ANSWERED = _event(4, EventKind.ANSWERED, request_id='r', digest='other')


@params(
    ('well', [SENT, STARTED, DENIED._replace(detail='status 502')], set()),
    ('cut', [SENT, STARTED, CUT], {'unanswered'}),
    ('cut, not passed on', [SENT, CUT], set()),
    ('cut by a kill', [SENT, STARTED, KILLED, CUT], set()),
    ('another killed', [SENT, STARTED, OTHER_KILLED, CUT], {'unanswered'}),
    ('silent', [SENT, SILENT], {'silent'}),
    ('silent while paused', [SENT, PAUSED, SILENT], set()),
    ('ran and refused', [SENT, STARTED, REFUSED], {'not run'}),
    ('ran twice', [SENT, STARTED, AGAIN, KILLED, CUT], {'at most once'}),
    ('denied', [SENT, DENIED], {'denied'}),
    ('after its leaving', [LEFT, SENT, LATE, KILLED, CUT], {'leaving'}),
    ('limit kept', [LIMITED, *MANY[:17], CUT, KILLED], set()),
    ('limit', [LIMITED, *MANY, CUT, KILLED], {'limit'}),
    ('limit ended', [LIMITED, RAISED, *MANY, CUT, KILLED], set()),
    ('own end', [ENDED], {'own end'}),
    ('no own answer', [SENT, STARTED, ANSWERED], {'answers'}),
)
def test_history_breaks_expected_rules(_, history, expected):
    """A history breaks exactly the expected rules."""
    assert {breach.rule for breach in check_history(history)} == expected
