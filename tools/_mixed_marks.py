"""Checks of crashing requests, their marks and logs, and drains.

Each check relies on those before it: a crash at the first node, its mark, then
a drain of the second node and its end.
"""

from collections.abc import Sequence
from typing import Final

from stand_ins.deployment import ServerPair
from tools._mixed_context import CONTROL, POST, Context
from tools._mixed_report import Outcome

_CRASH_ID: Final = 'mixed-crash'
_CRASH: Final = (
    (b'x-crash', b'1'),
    (b'x-carobmoor-request-id', _CRASH_ID.encode()),
)
_FINGERPRINT: Final = 'fingerprint'
_DRAIN: Final = f'{CONTROL}/drain'


async def crash_at_first_is_marked_at_second(context: Context) -> Outcome:
    """`quarantine list` at the second node has the mark of the crash.

    The backend server of the second is down, so the first runs the request.
    """
    await context.deployment.kill(f'backend {context.second.name}')

    async def is_marked() -> bool:
        # Has its own target: a request like an answered one is not marked.
        if not await context.marks(context.first):
            await context.send(context.first, _CRASH, target='/crash')
        return bool(await context.marks(context.first))

    async def is_propagated() -> bool:
        return bool(await context.marks(context.second))

    await context.deployment.wait_until(is_marked, 'a mark at the first')
    await context.deployment.wait_until(is_propagated, 'a mark at the second')
    marks = await context.marks(context.second)
    listed = [
        await build.run('quarantine', 'list', str(context.second.node))
        for build in context.deployment.builds
    ]
    has_all = [marks[0][_FINGERPRINT] in out for _, out, _ in listed]
    crashed = marks[0]['crash_ids'][0].partition('/')[0]
    seen = (len(marks), crashed == str(context.first.node), has_all)
    return Outcome((1, True, [True, True]), seen)


async def timeline_reads_the_log_alike(context: Context) -> Outcome:
    """Both builds print the same lines about the crash from one log."""
    log = str(context.deployment.log_of(context.first))
    return await _both_run(context, 'timeline', _CRASH_ID, log)


async def explain_asks_first_alike(context: Context) -> Outcome:
    """Both builds print the same record of the crash from the first node."""
    return await _both_run(
        context, 'explain', _CRASH_ID, str(context.first.node)
    )


async def mark_is_cleared_from_second(context: Context) -> Outcome:
    """A mark cleared at the second node is gone at both."""
    fingerprint = (await context.marks(context.first))[0][_FINGERPRINT]
    code, _, errors = await context.deployment.builds[1].run(
        'quarantine', 'clear', fingerprint, str(context.second.node)
    )

    async def is_cleared() -> bool:
        return not await context.marks(context.first)

    await context.deployment.wait_until(
        is_cleared, f'no mark at the first: {errors}'
    )
    left = [len(await context.marks(pair)) for pair in context.pairs]
    return Outcome((0, [0, 0]), (code, left))


async def drain_of_second_is_seen(context: Context) -> Outcome:
    """With both backend servers up, only the first gets requests."""
    for pair in context.pairs:
        key = f'backend {pair.name}'
        # Still running if an earlier check failed.
        if context.deployment.processes[key].returncode is None:
            await context.deployment.kill(key)
        await context.deployment.start_backend(pair)
    await _until_servers_are(context, (context.first, context.second))
    await context.control(context.second, f'{_DRAIN}?keep=1', POST)
    await _until_servers_are(context, (context.first,))
    return Outcome([context.first.name], await context.servers(context.first))


async def undone_drain_of_second_is_seen(context: Context) -> Outcome:
    """Once the drain is undone, both backend servers get requests again."""
    await context.control(context.second, _DRAIN, 'DELETE')
    await _until_servers_are(context, (context.first, context.second))
    return Outcome('both', 'both')


async def _until_servers_are(
    context: Context, pairs: Sequence[ServerPair]
) -> None:
    expected = sorted(pair.name for pair in pairs)

    async def is_spread() -> bool:
        return await context.servers(context.first) == expected

    await context.deployment.wait_until(
        is_spread, f'the first sends requests to {expected}'
    )


async def _both_run(context: Context, *arguments: str) -> Outcome:
    """Run a command of both builds, which must print the same lines."""
    first, second = [
        await build.run(*arguments) for build in context.deployment.builds
    ]
    lines = len(first[1].splitlines())
    if first == second and lines and not first[0]:
        return Outcome('the same lines', 'the same lines')
    return Outcome(f'exit 0 and the same lines as {first}', second)


MARK_CHECKS: Final = (
    crash_at_first_is_marked_at_second,
    timeline_reads_the_log_alike,
    explain_asks_first_alike,
    mark_is_cleared_from_second,
    drain_of_second_is_seen,
    undone_drain_of_second_is_seen,
)
