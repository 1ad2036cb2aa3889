"""Checks of mesh nodes of two builds, each with a backend server.

The servers are those of the soak; each signs its answers with its instance id.
The last check stops the second node.
"""

import asyncio
import itertools
import signal
from collections.abc import Sequence
from typing import Final

from carobmoor.transport import OutgoingRequest, get_header, read_whole, send
from soak._callers import HOST
from soak._server import REQUEST_ID, SIGNATURE
from soak._stage import Place, probe_target
from tools._mixed_pages import compare, names_and_labels
from tools._mixed_processes import Build, MixedMesh, send_request
from tools._mixed_report import Outcome, run_checks

_GET: Final = 'GET'
_TARGET: Final = '/get/a'
# As in the deployment files.
_METRICS_PORT: Final = 9464
_OK: Final = 200
_NOT_FOUND: Final = 404
# More than the slots and queue of one server, so that some are forwarded.
_BURST: Final = 40
_LATER: Final = 20
_TRIES: Final = 40
_TIMEOUT_S: Final = 5
_MAX_BYTES: Final = 100_000
# A node that has served requests exports at least this many.
_MIN_METRIC_NAMES: Final = 10
_numbers: Final = itertools.count(1)


async def run_mesh(title: str, first: Build, second: Build) -> Sequence[bool]:
    """Start a mesh node of each build and run every check."""
    checks = (
        both_are_ready,
        requests_cross,
        new_version_is_in_force_at_both,
        metrics_are_named_alike,
        second_leaves_and_is_not_used,
    )
    async with MixedMesh((first, second)) as mesh:
        await mesh.start_all()
        return await run_checks(title, mesh, checks)


async def both_are_ready(mesh: MixedMesh) -> Outcome:
    """Both nodes report that they are ready."""
    seen = [await mesh.is_ready(place) for place in mesh.places]
    return Outcome([True, True], seen)


async def requests_cross(mesh: MixedMesh) -> Outcome:
    """Each node forwards some requests to the server of the other."""
    first, second = mesh.places
    for called, other in ((first, second), (second, first)):
        signer = mesh.servers[other].instance_id

        async def is_reached(
            called: Place = called, signer: str = signer
        ) -> bool:
            return (_OK, signer) in await _burst(mesh, called)

        await mesh.wait_until(
            is_reached, f'{called.number} forwards to {other.number}'
        )
    return Outcome('both ways', 'both ways')


async def new_version_is_in_force_at_both(mesh: MixedMesh) -> Outcome:
    """Both nodes have the route of a version once it is published."""
    target = probe_target(mesh.version + 1)
    before = [await _status(mesh, place, target) for place in mesh.places]
    await mesh.publish()

    async def has_route() -> bool:
        return {_OK} == {
            await _status(mesh, place, target) for place in mesh.places
        }

    await mesh.wait_until(has_route, f'both have a route for {target}')
    after = [await _status(mesh, place, target) for place in mesh.places]
    expected = ([_NOT_FOUND, _NOT_FOUND], [_OK, _OK])
    return Outcome(expected, (before, after))


async def metrics_are_named_alike(mesh: MixedMesh) -> Outcome:
    """Both nodes export the same names and labels.

    Some labels appear only after an event, so requests are sent until the same
    events have occurred at both.
    """
    outcome = await _compare_pages(mesh)
    for _ in range(_TRIES):
        if outcome.expected == outcome.seen:
            break
        for place in mesh.places:
            await _burst(mesh, place)
        outcome = await _compare_pages(mesh)
    return outcome


async def _compare_pages(mesh: MixedMesh) -> Outcome:
    first, second = [
        names_and_labels(
            (
                await send_request(
                    mesh.pool, place.at(_METRICS_PORT), _GET, '/metrics'
                )
            ).body.decode()
        )
        for place in mesh.places
    ]
    return compare(first, second, _MIN_METRIC_NAMES)


async def second_leaves_and_is_not_used(mesh: MixedMesh) -> Outcome:
    """Requests during its stop are answered, later ones by the first only."""
    first, second = mesh.places
    mesh.stopping.add(second)
    mesh.send_signal(second, signal.SIGTERM)
    ending = asyncio.create_task(mesh.wait_ended(second))
    statuses = set()
    while not ending.done():
        statuses.add((await _call(mesh, first))[0])
    later = {await _call(mesh, first) for _ in range(_LATER)}
    own = {(_OK, mesh.servers[first].instance_id)}
    return Outcome((0, {_OK}, own), (await ending, statuses, later))


async def _burst(mesh: MixedMesh, place: Place) -> set[tuple[int, str]]:
    """Send concurrent requests; returns the statuses with the signers."""
    asked = [_call(mesh, place) for _ in range(_BURST)]
    return set(await asyncio.gather(*asked))


async def _call(
    mesh: MixedMesh, place: Place, target: str = _TARGET
) -> tuple[int, str]:
    """Send a request to a node; returns the status and the signer."""
    headers = (
        (b'host', HOST.encode()),
        (REQUEST_ID, f'mixed-{next(_numbers)}'.encode()),
    )
    request = OutgoingRequest(_GET, target, headers)
    address = mesh.caller_address(place)
    sent = await send(mesh.pool, address, request, _TIMEOUT_S)
    answer = sent.unwrap()
    await read_whole(answer, _MAX_BYTES, _TIMEOUT_S)
    return answer.head.status, get_header(answer.head.headers, SIGNATURE)


async def _status(mesh: MixedMesh, place: Place, target: str) -> int:
    return (await _call(mesh, place, target))[0]
