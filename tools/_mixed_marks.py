"""Drains, crash requests, their marks and logs across two builds.

The checks go from a crash at the first node over its mark to a drain of the
second one and back; they are played in this order.
"""

from collections.abc import Sequence
from typing import Final

from stand_ins.deployment import Pair
from tools._mixed_report import Came
from tools._mixed_scene import CONTROL, POST, Scene

_CRASH_ID: Final = 'mixed-crash'
_CRASH: Final = (
    (b'x-crash', b'1'),
    (b'x-carobmoor-request-id', _CRASH_ID.encode()),
)
_FINGERPRINT: Final = 'fingerprint'
_DRAIN: Final = f'{CONTROL}/drain'


async def crash_at_first_is_marked_at_second(scene: Scene) -> Came:
    """The second's `quarantine list` has the mark of the crash.

    The second's backend server is down, so that the first runs the request.
    """
    await scene.deployment.kill(f'backend {scene.second.name}')

    async def is_marked() -> bool:
        # One like those answered before would not be blamed.
        if not await scene.marks(scene.first):
            await scene.send(scene.first, _CRASH, target='/crash')
        return bool(await scene.marks(scene.first))

    async def is_told() -> bool:
        return bool(await scene.marks(scene.second))

    await scene.deployment.until(is_marked, 'a mark at the first')
    await scene.deployment.until(is_told, 'a mark at the second')
    marks = await scene.marks(scene.second)
    listed = [
        await build.run('quarantine', 'list', str(scene.second.node))
        for build in scene.deployment.builds
    ]
    has_all = [marks[0][_FINGERPRINT] in out for _, out, _ in listed]
    crashed = marks[0]['crash_ids'][0].partition('/')[0]
    told = (len(marks), crashed == str(scene.first.node), has_all)
    return Came((1, True, [True, True]), told)


async def timeline_reads_the_log_alike(scene: Scene) -> Came:
    """Both builds tell the same of the crash from the first's log."""
    log = str(scene.deployment.log_of(scene.first))
    return await _both_run(scene, 'timeline', _CRASH_ID, log)


async def explain_asks_first_alike(scene: Scene) -> Came:
    """Both builds get the same record of the crash from the first."""
    return await _both_run(scene, 'explain', _CRASH_ID, str(scene.first.node))


async def mark_is_cleared_from_second(scene: Scene) -> Came:
    """What is cleared at the second is gone at both."""
    fingerprint = (await scene.marks(scene.first))[0][_FINGERPRINT]
    code, _, told = await scene.deployment.builds[1].run(
        'quarantine',
        'clear',
        fingerprint,
        str(scene.second.node),
    )

    async def holds() -> bool:
        return not await scene.marks(scene.first)

    await scene.deployment.until(holds, f'no mark at the first: {told}')
    left = [len(await scene.marks(pair)) for pair in scene.pairs]
    return Came((0, [0, 0]), (code, left))


async def drain_of_second_is_seen(scene: Scene) -> Came:
    """With both backend servers up again, only the first gets work."""
    for pair in scene.pairs:
        key = f'backend {pair.name}'
        # Still up where an earlier check failed; its entry is replaced.
        if scene.deployment.processes[key].returncode is None:
            await scene.deployment.kill(key)
        await scene.deployment.start_backend(pair)
    await _until_seen(scene, (scene.first, scene.second))
    await scene.control(scene.second, f'{_DRAIN}?keep=1', POST)
    await _until_seen(scene, (scene.first,))
    return Came([scene.first.name], await scene.servers(scene.first))


async def undone_drain_of_second_is_seen(scene: Scene) -> Came:
    """Both work for the first again."""
    await scene.control(scene.second, _DRAIN, 'DELETE')
    await _until_seen(scene, (scene.first, scene.second))
    return Came('both get work', 'both get work')


async def _until_seen(scene: Scene, pairs: Sequence[Pair]) -> None:
    wanted = sorted(pair.name for pair in pairs)

    async def holds() -> bool:
        return await scene.servers(scene.first) == wanted

    await scene.deployment.until(holds, f'{wanted} get work of the first')


async def _both_run(scene: Scene, *arguments: str) -> Came:
    """Run a command of both builds; they must print the same, and something."""
    first, second = [
        await build.run(*arguments) for build in scene.deployment.builds
    ]
    lines = len(first[1].splitlines())
    if first == second and lines and not first[0]:
        return Came('the same lines', 'the same lines')
    return Came(f'exit 0 and the same lines as {first}', second)


MARK_CHECKS: Final = (
    crash_at_first_is_marked_at_second,
    timeline_reads_the_log_alike,
    explain_asks_first_alike,
    mark_is_cleared_from_second,
    drain_of_second_is_seen,
    undone_drain_of_second_is_seen,
)
