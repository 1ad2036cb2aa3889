"""Checks that one build reads what the other one has written.

Covers the store's rows and objects, settings files and documents. Each check
relies on those before it.
"""

import json
import re
import signal
from collections.abc import Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from soak._stage import Place as MeshPlace
from soak._stage import settings_of
from stand_ins.deployment import read_example
from tools._mixed_context import CONTROL, DOCUMENT, GET, PLACE, STATUS, Context
from tools._mixed_pages import compare, names_and_labels
from tools._mixed_processes import Build, MixedDeployment
from tools._mixed_report import Outcome, run_checks

_KEY: Final = ((b'idempotency-key', b'the-one-key'),)
_REQUESTS: Final = 3
_OK: Final = 200
# A node that has served requests exports at least this many.
_MIN_METRIC_NAMES: Final = 10
_MESH_PLACE: Final = MeshPlace(0, '127.0.0.1', 'north-a')
_ACCEPTED: Final = 0
# Two unknown fields, so that two lines are expected.
_FAULTS: Final = MappingProxyType({'slots': '', 'queue': 0})
_BROKEN: Final = 'broken'
# Refused platform settings, and refused documents and node settings.
_REFUSED: Final = MappingProxyType({'.conf': 1, '.json': 2})
# The path of a fault: a path in a document, or a file and a setting in it.
# Builds before the rewording of the messages name the setting after the file.
_FAULT_PATH: Final = re.compile(
    r'(\$.*?): found |'
    r'carobmoor: (.+?): (?:invalid platform settings: )?([\w.-]+): '
)


class Snapshot(NamedTuple):
    """What a node reported and what the store held while it ran."""

    page: str
    version: int
    seeds: Any
    claims: Any
    answer: bytes


class Succession(NamedTuple):
    """A node of the second build that replaces one of the first."""

    context: Context
    first: Build
    second: Build
    before: Snapshot


async def run_files(title: str, first: Build, second: Build) -> Sequence[bool]:
    """Run a node of the first build, then one of the second in its place."""
    checks = (
        version_and_history_are_read,
        metrics_are_named_alike,
        claim_is_found,
        seed_row_is_read,
        files_are_judged_alike,
    )
    async with MixedDeployment((first,)) as deployment:
        # Without peers, nodes find each other only by the seed rows.
        await deployment.start((PLACE,), read_example(DOCUMENT), {'peers': []})
        pair = deployment.pairs[0]
        context = Context(deployment, pair, pair)
        before = await _use(context)
        await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        deployment.builds = [second, second]
        await deployment.start_node(pair)
        await deployment.wait_for_status(pair, 'is_ready', True)
        run = Succession(context, first, second, before)
        return await run_checks(title, run, checks)


async def version_and_history_are_read(nodes: Succession) -> Outcome:
    """The second build applies and lists the configuration of the first."""
    target = f'{CONTROL}/configuration/history'
    status = await nodes.context.control(nodes.context.first, STATUS)
    listed = await nodes.context.control(nodes.context.first, target)
    versions = [head['version'] for head in listed]
    seen = (status['configuration_version'], versions)
    return Outcome((nodes.before.version, [1]), seen)


async def metrics_are_named_alike(nodes: Succession) -> Outcome:
    """Nodes of both builds export the same metric names and labels."""
    later = await _use(nodes.context)
    first, second = map(names_and_labels, (nodes.before.page, later.page))
    return compare(first, second, _MIN_METRIC_NAMES)


async def claim_is_found(nodes: Succession) -> Outcome:
    """The second build answers from the claim of the first, without a run."""
    before = await nodes.context.starts()
    answer = await nodes.context.send(nodes.context.first, _KEY)
    started = await nodes.context.starts() - before
    rows = await _rows(nodes.context, 'idempotency')
    is_same = answer.body == nodes.before.answer
    seen = (answer.head.status, is_same, started, rows == nodes.before.claims)
    return Outcome((_OK, True, 0, True), seen)


async def seed_row_is_read(nodes: Succession) -> Outcome:
    """A new node of the second build joins by the seed row of the first."""
    context = nodes.context
    kept = await _rows(context, 'seeds')
    added = await context.deployment.add_pair(PLACE, {'peers': []})
    for pair in (context.first, added):
        await context.deployment.wait_for_status(pair, 'members', 2)
    return Outcome((1, True), (len(kept), kept == nodes.before.seeds))


async def files_are_judged_alike(nodes: Succession) -> Outcome:
    """`check` of both builds has the same exit code and finds the same faults.

    The wording of the messages may differ. The number of lines must be the
    same, and so must the path of each fault or, for an accepted file, the path
    of the file.
    """
    expected = []
    seen = []
    for path in _write_files(nodes.context.deployment.folder):
        judgements = [
            _judge(path, await build.run('check', str(path)))
            for build in (nodes.first, nodes.second)
        ]
        is_broken = path.name.startswith(_BROKEN)
        code = _REFUSED[path.suffix] if is_broken else _ACCEPTED
        expected.append((path.name, code, 'the same paths'))
        is_same = judgements[0] == judgements[1] and any(judgements[0][1:])
        verdict = 'the same paths' if is_same else judgements
        seen.append((path.name, judgements[0][0], verdict))
    return Outcome(expected, seen)


def _judge(
    path: Path, ended: tuple[int, str, str]
) -> tuple[int, Sequence[str], Sequence[str]]:
    """Return the exit code of `check` and the path in each line it printed."""
    code, *outputs = ended
    out, err = [
        [_path_of(path, line) for line in output.splitlines()]
        for output in outputs
    ]
    return code, out, err


def _path_of(path: Path, line: str) -> str:
    """Return the path before the message, or the whole line without one."""
    accepted, colon, _ = line.partition(': ')
    if colon and accepted == str(path):
        return accepted
    found = _FAULT_PATH.match(line)
    if found is None or found[2] not in {None, str(path)}:
        return line
    return str(found[1] or found[3])


async def _use(context: Context) -> Snapshot:
    """Send a few requests to the node and read their effects."""
    pair = context.first
    for _ in range(_REQUESTS):
        await context.send(pair, method=GET)
        await context.send(pair)
    await context.send(pair, ((b'x-carobmoor-rank', b'no-rank'),))
    status = await context.control(pair, STATUS)
    answer = await context.send(pair, _KEY)
    return Snapshot(
        await context.metrics_page(pair),
        status['configuration_version'],
        await _rows(context, 'seeds'),
        await _rows(context, 'idempotency'),
        answer.body,
    )


async def _rows(context: Context, table: str) -> Any:
    target = f'/v1/rows-get?table={table}'
    platform = context.deployment.platform
    return (await context.deployment.request_control(platform, GET, target))[
        'rows'
    ]


def _write_files(folder: Path) -> Sequence[Path]:
    """Write the examples and mesh settings, and a broken copy of each."""
    mesh = settings_of(_MESH_PLACE)
    texts = {
        'mesh.conf': mesh,
        'broken.conf': mesh.replace('heartbeat=300ms', 'heartbeat=soon'),
        'broken-half.json': '{"listen": ',
    }
    for example in sorted(Path('examples').glob('*.json')):
        content = read_example(example.stem)
        texts[example.name] = example.read_text(encoding='utf-8')
        texts[f'broken-{example.name}'] = json.dumps({**content, **_FAULTS})
    paths = [folder / name for name in texts]
    for path in paths:
        path.write_text(texts[path.name], encoding='utf-8')
    return paths
