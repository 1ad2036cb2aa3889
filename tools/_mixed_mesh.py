"""Mesh nodes of two builds in one mesh, each with its backend server.

The servers are those of the soak; each signs its answers with its instance.
The second node has left at the end.
"""

import asyncio
import itertools
import signal
from collections.abc import Sequence
from typing import Final

from carobmoor.transport import (
    OutgoingRequest,
    header_of,
    read_whole,
    send,
)
from soak._callers import HOST
from soak._server import REQUEST_ID, SIGNATURE
from soak._stage import Place, probe_target
from tools._mixed_pages import compare, names_and_labels
from tools._mixed_report import Came, Line, play_checks
from tools._mixed_stage import Build, MixedStage, ask

_GET: Final = 'GET'
_TARGET: Final = '/get/a'
# The deploy file names it.
_METRICS_PORT: Final = 9464
_OK: Final = 200
_NOT_FOUND: Final = 404
# More than one server has slots and room to wait, so that some go on.
_BURST: Final = 40
_LATER: Final = 20
_TRIES: Final = 40
_TIMEOUT_S: Final = 5
_MOST_BYTES: Final = 100_000
# Fewer can't be a page of a node that has served requests.
_LEAST_NAMES: Final = 10
_numbers: Final = itertools.count(1)


async def play_mesh(
    title: str,
    first: Build,
    second: Build,
) -> Sequence[Line]:
    """Start a mesh node of each build and play every check."""
    checks = (
        both_are_ready,
        requests_cross,
        new_version_is_in_force_at_both,
        metrics_are_named_alike,
        second_leaves_and_is_not_used,
    )
    async with MixedStage((first, second)) as stage:
        await stage.open()
        return await play_checks(title, stage, checks)


async def both_are_ready(stage: MixedStage) -> Came:
    """Each says so when it is asked."""
    told = [await stage.is_ready(place) for place in stage.places]
    return Came([True, True], told)


async def requests_cross(stage: MixedStage) -> Came:
    """What is sent to either is in part signed by the other's server."""
    first, second = stage.places
    for called, other in ((first, second), (second, first)):
        wanted = stage.servers[other].instance_id

        async def holds(called: Place = called, wanted: str = wanted) -> bool:
            return (_OK, wanted) in await _burst(stage, called)

        await stage.until(holds, f'{other.number} answers {called.number}')
    return Came('both ways', 'both ways')


async def new_version_is_in_force_at_both(stage: MixedStage) -> Came:
    """Its path has no route before it is written, and one soon after."""
    target = probe_target(stage.version + 1)
    before = [await _status(stage, place, target) for place in stage.places]
    await stage.publish()

    async def holds() -> bool:
        return {_OK} == {
            await _status(stage, place, target) for place in stage.places
        }

    await stage.until(holds, f'both have a route for {target}')
    after = [await _status(stage, place, target) for place in stage.places]
    wanted = ([_NOT_FOUND, _NOT_FOUND], [_OK, _OK])
    return Came(wanted, (before, after))


async def metrics_are_named_alike(stage: MixedStage) -> Came:
    """The pages come to have the same names with the same labels.

    What has happened at one node only has its labels only there, so both get
    requests until all of it has happened at both.
    """
    came = await _compare_pages(stage)
    for _ in range(_TRIES):
        if came.asked == came.came:
            break
        for place in stage.places:
            await _burst(stage, place)
        came = await _compare_pages(stage)
    return came


async def _compare_pages(stage: MixedStage) -> Came:
    first, second = [
        names_and_labels(
            (
                await ask(stage.pool, place.at(_METRICS_PORT), _GET, '/metrics')
            ).body.decode(),
        )
        for place in stage.places
    ]
    return compare(first, second, _LEAST_NAMES)


async def second_leaves_and_is_not_used(stage: MixedStage) -> Came:
    """All that is sent while it leaves is answered, later without it."""
    first, second = stage.places
    stage.stopping.add(second)
    stage.send_signal(second, signal.SIGTERM)
    ending = asyncio.create_task(stage.end(second))
    statuses = set()
    while not ending.done():
        statuses.add((await _signed(stage, first))[0])
    later = {await _signed(stage, first) for _ in range(_LATER)}
    own = {(_OK, stage.servers[first].instance_id)}
    return Came((0, {_OK}, own), (await ending, statuses, later))


async def _burst(stage: MixedStage, place: Place) -> set[tuple[int, str]]:
    """Send requests at once; gives statuses with who signed."""
    asked = [_signed(stage, place) for _ in range(_BURST)]
    return set(await asyncio.gather(*asked))


async def _signed(
    stage: MixedStage,
    place: Place,
    target: str = _TARGET,
) -> tuple[int, str]:
    """Send a request to a node; gives its status and who signed."""
    headers = (
        (b'host', HOST.encode()),
        (REQUEST_ID, f'mixed-{next(_numbers)}'.encode()),
    )
    request = OutgoingRequest(_GET, target, headers)
    address = stage.caller_address(place)
    sent = await send(stage.pool, address, request, _TIMEOUT_S)
    answer = sent.unwrap()
    await read_whole(answer, _MOST_BYTES, _TIMEOUT_S)
    return answer.head.status, header_of(answer.head.headers, SIGNATURE)


async def _status(stage: MixedStage, place: Place, target: str) -> int:
    return (await _signed(stage, place, target))[0]
