"""Checks of two nodes of different builds in one deployment.

Both serve one service and use the stand-in platform. Each check relies on
those before it.
"""

import json
from collections.abc import Sequence
from typing import Final

from carobmoor.membership import MemberStatus, decode_members
from carobmoor.transport import HeaderList
from stand_ins.deployment import ServerPair, read_example
from tools._mixed_context import CONTROL, DOCUMENT, PLACE, POST, STATUS, Context
from tools._mixed_marks import MARK_CHECKS
from tools._mixed_pages import compare, lines_of
from tools._mixed_processes import Build, MixedDeployment
from tools._mixed_report import Outcome, run_checks

_VERSION: Final = 'configuration_version'
_CONFIGURATION: Final = f'{CONTROL}/configuration'
_OK: Final = 200


async def run_nodes(title: str, first: Build, second: Build) -> Sequence[bool]:
    """Start a node of each build and run every check."""
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
        context = Context(deployment, *deployment.pairs)
        return await run_checks(title, context, checks)


async def members_know_each_other(context: Context) -> Outcome:
    """Both nodes count two members and list both as alive."""
    both = {str(pair.node): MemberStatus.ALIVE.name for pair in context.pairs}
    seen = [await _known_to(context, pair) for pair in context.pairs]
    return Outcome([(2, both), (2, both)], seen)


async def requests_cross(context: Context) -> Outcome:
    """Each node forwards requests to the backend server of the other."""
    first, second = context.pairs
    for called, other in ((first, second), (second, first)):

        async def is_reached(
            called: ServerPair = called, name: str = other.name
        ) -> bool:
            return name in await context.servers(called)

        await context.deployment.wait_until(
            is_reached, f'{called.name} forwards to {other.name}'
        )
    return Outcome('both ways', 'both ways')


async def openapi_documents_are_equal(context: Context) -> Outcome:
    """Both describe the same control paths; descriptions may differ."""
    target = f'{CONTROL}/openapi.json'
    first, second = [
        lines_of(await context.control(pair, target)) for pair in context.pairs
    ]
    return compare(first, second)


async def configurations_cross(context: Context) -> Outcome:
    """A configuration submitted at one node is applied at the other."""
    first, second = context.pairs
    slots = (
        await _put(context, first, second, 2),
        await _put(context, second, first, 3),
    )
    return Outcome((2, 3), slots)


async def ticket_of_first_runs_once_through_second(context: Context) -> Outcome:
    """A ticket of the first node, presented twice at the second, runs once."""
    body = b'{"service": "bookings"}'
    issued = await context.deployment.request_control(
        context.first.node, POST, f'{CONTROL}/tickets', body
    )
    headers = (
        (b'x-carobmoor-request-id', issued['request_id'].encode()),
        (b'x-carobmoor-ticket', issued['ticket'].encode()),
    )
    return await _send_twice(context, (context.second, context.second), headers)


async def key_sent_again_through_second_runs_once(context: Context) -> Outcome:
    """The second node returns the answer of the run at the first."""
    headers = ((b'idempotency-key', b'the-one-key'),)
    return await _send_twice(context, context.pairs, headers)


async def _known_to(
    context: Context, pair: ServerPair
) -> tuple[int, dict[str, str]]:
    status = await context.control(pair, STATUS)
    listed = await context.control(pair, f'{CONTROL}/members')
    members = decode_members(json.dumps(listed).encode())
    statuses = {member.address: member.status.name for member in members}
    return status['members'], statuses


async def _put(
    context: Context, at: ServerPair, other: ServerPair, version: int
) -> int:
    """Submit a version with as many slots; returns the slots at the other."""
    document = read_example(DOCUMENT)
    document['services']['bookings']['slots'] = version
    submission = {
        'base_version': version - 1,
        'reason': 'two builds',
        'document': document,
    }
    body = json.dumps(submission).encode()
    await context.deployment.request_control(
        at.node, 'PUT', _CONFIGURATION, body
    )
    await context.deployment.wait_for_status(other, _VERSION, version)
    applied = await context.control(other, _CONFIGURATION)
    return int(applied['document']['services']['bookings']['slots'])


async def _send_twice(
    context: Context, pairs: Sequence[ServerPair], headers: HeaderList
) -> Outcome:
    """Send one request to the nodes in turn; it must run once."""
    before = await context.starts()
    answers = [await context.send(pair, headers) for pair in pairs]
    statuses = [answer.head.status for answer in answers]
    bodies = len({answer.body for answer in answers})
    seen = ('statuses', statuses, 'bodies', bodies)
    started = await context.starts() - before
    expected = ('statuses', [_OK, _OK], 'bodies', 1)
    return Outcome((*expected, 'starts', 1), (*seen, 'starts', started))
