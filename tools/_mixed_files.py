"""What one build has written and the other one reads.

The store's rows and objects, settings files and documents. The checks build
on each other and are played in their order.
"""

import json
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

from soak._stage import Place as MeshPlace
from soak._stage import settings_of
from stand_ins.deployment import read_example
from tools._mixed_pages import compare, names_and_labels
from tools._mixed_report import Came, Line, play_checks
from tools._mixed_scene import CONTROL, DOCUMENT, GET, PLACE, STATUS, Scene
from tools._mixed_stage import Build, MixedDeployment

_KEY: Final = ((b'idempotency-key', b'the-one-key'),)
_FEW: Final = 3
_OK: Final = 200
# Fewer can't be a page of a node that has served requests.
_LEAST_NAMES: Final = 10
_MESH_PLACE: Final = MeshPlace(0, '127.0.0.1', 'north-a')
_ACCEPTED: Final = (0,)
_REFUSED: Final = (1, 2)


class Left(NamedTuple):
    """What a node told and what stood in the store while it ran."""

    page: str
    version: int
    seeds: Any
    claims: Any
    answer: bytes


class FilesScene(NamedTuple):
    """A node of the second build after one of the first, at one place."""

    scene: Scene
    first: Build
    second: Build
    left: Left


async def play_files(
    title: str,
    first: Build,
    second: Build,
) -> Sequence[Line]:
    """Let the first build write and stop, and the second one follow."""
    checks = (
        version_and_history_are_read,
        metrics_are_named_alike,
        claim_is_found,
        seed_row_is_read,
        files_are_judged_alike,
    )
    async with MixedDeployment((first,)) as deployment:
        # Without peers, nodes meet through the seed rows only.
        await deployment.start((PLACE,), read_example(DOCUMENT), {'peers': []})
        pair = deployment.pairs[0]
        scene = Scene(deployment, pair, pair)
        left = await _use(scene)
        await deployment.stop(f'node {pair.name}', signal.SIGTERM)
        deployment.builds = [second, second]
        await deployment.start_node(pair)
        await deployment.until_status(pair, 'is_ready', True)
        played = FilesScene(scene, first, second, left)
        return await play_checks(title, played, checks)


async def version_and_history_are_read(files: FilesScene) -> Came:
    """The second has in force, and lists, what the first has written."""
    target = f'{CONTROL}/configuration/history'
    status = await files.scene.control(files.scene.first, STATUS)
    listed = await files.scene.control(files.scene.first, target)
    versions = [head['version'] for head in listed]
    told = (status['configuration_version'], versions)
    return Came((files.left.version, [1]), told)


async def metrics_are_named_alike(files: FilesScene) -> Came:
    """After the same requests the pages have the same names and labels."""
    later = await _use(files.scene)
    first, second = map(names_and_labels, (files.left.page, later.page))
    return compare(first, second, _LEAST_NAMES)


async def claim_is_found(files: FilesScene) -> Came:
    """The key's request is answered from the claim, and not run again."""
    before = await files.scene.starts()
    answer = await files.scene.send(files.scene.first, _KEY)
    started = await files.scene.starts() - before
    rows = await _rows(files.scene, 'idempotency')
    is_same = answer.body == files.left.answer
    told = (answer.head.status, is_same, started, rows == files.left.claims)
    return Came((_OK, True, 0, True), told)


async def seed_row_is_read(files: FilesScene) -> Came:
    """Another node of the second meets the place by the first's row only."""
    scene = files.scene
    kept = await _rows(scene, 'seeds')
    added = await scene.deployment.add_pair(PLACE, {'peers': []})
    for pair in (scene.first, added):
        await scene.deployment.until_status(pair, 'members', 2)
    return Came((1, True), (len(kept), kept == files.left.seeds))


async def files_are_judged_alike(files: FilesScene) -> Came:
    """`check` of both accepts and refuses the same, in the same words."""
    wanted = []
    judged = []
    for path, codes in _write_files(files.scene.deployment.folder):
        first = await files.first.run('check', str(path))
        second = await files.second.run('check', str(path))
        is_right = first[0] in codes and any(first[1:])
        wanted.append((path.name, 'as expected, the same'))
        alike = 'the same' if first == second else f'{first} and {second}'
        verdict = 'as expected' if is_right else f'exit {first[0]}'
        judged.append((path.name, f'{verdict}, {alike}'))
    return Came(wanted, judged)


async def _use(scene: Scene) -> Left:
    """Send the same few requests to the node, and read what came of them."""
    pair = scene.first
    for _ in range(_FEW):
        await scene.send(pair, method=GET)
        await scene.send(pair)
    await scene.send(pair, ((b'x-carobmoor-rank', b'no-rank'),))
    status = await scene.control(pair, STATUS)
    answer = await scene.send(pair, _KEY)
    return Left(
        await scene.page(pair),
        status['configuration_version'],
        await _rows(scene, 'seeds'),
        await _rows(scene, 'idempotency'),
        answer.body,
    )


async def _rows(scene: Scene, table: str) -> Any:
    target = f'/v1/rows-get?table={table}'
    platform = scene.deployment.platform
    return (await scene.deployment.ask(platform, GET, target))['rows']


def _write_files(folder: Path) -> Sequence[tuple[Path, Sequence[int]]]:
    """Write the examples and mesh settings, and a broken one of each."""
    mesh = settings_of(_MESH_PLACE)
    texts = {
        'mesh.conf': mesh,
        'broken.conf': mesh.replace('heartbeat=300ms', 'heartbeat=soon'),
        'broken-half.json': '{"listen": ',
    }
    for example in sorted(Path('examples').glob('*.json')):
        content = read_example(example.stem)
        texts[example.name] = example.read_text(encoding='utf-8')
        texts[f'broken-{example.name}'] = json.dumps({**content, 'slots': ''})
    return [_write(folder / name, text) for name, text in texts.items()]


def _write(path: Path, text: str) -> tuple[Path, Sequence[int]]:
    path.write_text(text, encoding='utf-8')
    return path, _REFUSED if path.name.startswith('broken') else _ACCEPTED
