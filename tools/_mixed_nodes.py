"""Product nodes of two builds in one deployment: what they do together.

Both are of one service, on the stand-in platform. The checks build on each
other and are played in their order.
"""

import json
from collections.abc import Sequence
from typing import Final

from carobmoor.membership import Standing, decode_members
from carobmoor.transport import HeaderList
from stand_ins.deployment import Pair, read_example
from tools._mixed_marks import MARK_CHECKS
from tools._mixed_pages import compare, lines_of, without_descriptions
from tools._mixed_report import Came, Line, play_checks
from tools._mixed_scene import (
    CONTROL,
    DOCUMENT,
    PLACE,
    POST,
    STATUS,
    Scene,
)
from tools._mixed_stage import Build, MixedDeployment

_VERSION: Final = 'configuration_version'
_CONFIGURATION: Final = f'{CONTROL}/configuration'
_OK: Final = 200


async def play_nodes(
    title: str,
    first: Build,
    second: Build,
) -> Sequence[Line]:
    """Start a node of each build and play every check."""
    checks = (
        members_know_each_other,
        requests_cross,
        openapi_documents_are_equal,
        configurations_cross,
        ticket_of_first_runs_once_through_second,
        key_sent_again_through_second_runs_once,
        *MARK_CHECKS,
    )
    async with MixedDeployment((first, second)) as deployment:
        await deployment.start((PLACE, PLACE), read_example(DOCUMENT))
        scene = Scene(deployment, *deployment.pairs)
        return await play_checks(title, scene, checks)


async def members_know_each_other(scene: Scene) -> Came:
    """Both count two members, and list both as alive."""
    both = {str(pair.node): Standing.ALIVE.name for pair in scene.pairs}
    told = [await _known_to(scene, pair) for pair in scene.pairs]
    return Came([(2, both), (2, both)], told)


async def requests_cross(scene: Scene) -> Came:
    """What is sent to either is answered by the other's backend server."""
    first, second = scene.pairs
    for called, other in ((first, second), (second, first)):

        async def holds(called: Pair = called, name: str = other.name) -> bool:
            return name in await scene.servers(called)

        await scene.deployment.until(holds, f'{other.name} by {called.name}')
    return Came('both ways', 'both ways')


async def openapi_documents_are_equal(scene: Scene) -> Came:
    """They list the same control paths, whatever their descriptions."""
    target = f'{CONTROL}/openapi.json'
    first, second = [
        lines_of(without_descriptions(await scene.control(pair, target)))
        for pair in scene.pairs
    ]
    return compare(first, second)


async def configurations_cross(scene: Scene) -> Came:
    """A configuration put at either comes in force at the other."""
    first, second = scene.pairs
    slots = (
        await _put(scene, first, second, 2),
        await _put(scene, second, first, 3),
    )
    return Came((2, 3), slots)


async def ticket_of_first_runs_once_through_second(scene: Scene) -> Came:
    """Presented again it is answered, and not run again."""
    body = b'{"service": "bookings"}'
    minted = await scene.deployment.ask(
        scene.first.node,
        POST,
        f'{CONTROL}/tickets',
        body,
    )
    headers = (
        (b'x-carobmoor-request-id', minted['request_id'].encode()),
        (b'x-carobmoor-ticket', minted['ticket'].encode()),
    )
    return await _send_twice(scene, (scene.second, scene.second), headers)


async def key_sent_again_through_second_runs_once(scene: Scene) -> Came:
    """The second node gives the answer of the run through the first."""
    headers = ((b'idempotency-key', b'the-one-key'),)
    return await _send_twice(scene, scene.pairs, headers)


async def _known_to(scene: Scene, pair: Pair) -> tuple[int, dict[str, str]]:
    status = await scene.control(pair, STATUS)
    listed = await scene.control(pair, f'{CONTROL}/members')
    members = decode_members(json.dumps(listed).encode())
    standings = {one.address: one.standing.name for one in members}
    return status['members'], standings


async def _put(scene: Scene, at: Pair, other: Pair, version: int) -> int:
    """Put the next version with as many slots; gives those at the other."""
    document = read_example(DOCUMENT)
    document['services']['bookings']['slots'] = version
    submission = {
        'base_version': version - 1,
        'reason': 'two builds',
        'document': document,
    }
    body = json.dumps(submission).encode()
    await scene.deployment.ask(at.node, 'PUT', _CONFIGURATION, body)
    await scene.deployment.until_status(other, _VERSION, version)
    told = await scene.control(other, _CONFIGURATION)
    return int(told['document']['services']['bookings']['slots'])


async def _send_twice(
    scene: Scene,
    pairs: Sequence[Pair],
    headers: HeaderList,
) -> Came:
    """Send one request to one node after the other; it is to run once."""
    before = await scene.starts()
    answers = [await scene.send(pair, headers) for pair in pairs]
    statuses = [answer.head.status for answer in answers]
    bodies = len({answer.body for answer in answers})
    told = ('statuses', statuses, 'bodies', bodies)
    started = await scene.starts() - before
    wanted = ('statuses', [_OK, _OK], 'bodies', 1)
    return Came((*wanted, 'starts', 1), (*told, 'starts', started))
