"""Route versions, leaving servers and restarts, with and without the store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from nose2.tools import params

from carobmoor.mesh import (
    Announcement,
    ServerStatus,
    leave_mesh_node,
    start_mesh_node,
)
from carobmoor.mesh._backend import Backend, read_load
from carobmoor.mesh._datagrams import decode_record
from carobmoor.mesh.tests.fixtures import (
    DEFAULT_TABLE,
    Mesh,
    make_route,
    make_table,
    ready_announcement,
    running_mesh,
)

TEST_S = 20
FIRST = Announcement('i-1', ServerStatus.READY, 1000, 5, None, 'one', 4)
LEAVING = FIRST._replace(status=ServerStatus.LEAVING, sequence=6)
GONE = Announcement('i-1', ServerStatus.GONE, 1000)


def run(test: Callable[[Mesh], Awaitable[Any]], nodes: int) -> Any:
    """Run a test with this many nodes."""

    async def main() -> Any:
        async with asyncio.timeout(TEST_S):
            async with running_mesh(*(None for _ in range(nodes))) as mesh:
                return await test(mesh)

    return asyncio.run(main())


@params(
    ('late heartbeat', (FIRST, FIRST._replace(sequence=4, slots=9)), 'i-1', 4),
    ('newer heartbeat', (FIRST, FIRST._replace(sequence=6, slots=9)), 'i-1', 9),
    (
        'heartbeat of an older start',
        (FIRST, FIRST._replace(instance_id='i-0', born_ms=999, sequence=99)),
        'i-1',
        4,
    ),
    (
        'same id, newer start',
        (FIRST, FIRST._replace(born_ms=2000, sequence=1, slots=7)),
        'i-1',
        7,
    ),
    (
        'another start',
        (LEAVING, FIRST._replace(instance_id='i-2', born_ms=2000)),
        'i-2',
        4,
    ),
)
def test_newest_announcement_is_kept(_, announcements, instance_id, slots):
    """An announcement older than the known one changes nothing."""
    backend = Backend()
    for announcement in announcements:
        backend.apply_announcement(announcement)
    assert (
        backend.last_announcement.instance_id,
        backend.last_announcement.slots,
    ) == (
        instance_id,
        slots,
    )
    assert backend.is_ready


@params(
    (FIRST, LEAVING, FIRST._replace(sequence=7)),
    (FIRST, GONE, FIRST._replace(sequence=7)),
    (FIRST, LEAVING, GONE, FIRST._replace(sequence=99)),
)
def test_leaving_cannot_be_revoked(*announcements):
    """No later announcement of the same start makes the server ready."""
    backend = Backend()
    for announcement in announcements:
        backend.apply_announcement(announcement)
    assert not backend.is_ready


def test_leaving_is_known_after_a_restart():
    """A restarted node still knows a leaving that it acknowledged."""
    backend = Backend()
    backend.restore(LEAVING)
    backend.apply_announcement(FIRST._replace(sequence=9))
    assert not backend.is_ready


@params(
    ('1,2,9,500', (1, 2, 9, 500)),
    ('1,2,9', (1, 2, 9, None)),
    ('1, 2, 9, 100.0', (1, 2, 9, 100)),
    ('', None),
    ('1,2', None),
    ('a,b,c', None),
)
def test_load_header_is_decoded(content, expected):
    """The header has three numbers and optionally a slowdown."""
    load = read_load(content)
    assert (load and tuple(load)) == expected


def test_version_spreads_without_the_store():
    """Nodes that cannot reach the store get the version from another one."""

    async def use(mesh: Mesh) -> None:
        newer = make_table(2, make_route())
        mesh.versions[b'v2'] = newer
        mesh.store.take_down()
        mesh.nodes[0].follower.apply_document(b'v2', 'store')
        await mesh.wait_until(
            lambda: all(one.node.version == 2 for one in mesh.nodes),
        )

    run(use, 3)


def test_version_never_goes_back():
    """Neither an older version nor a malformed one is applied."""

    async def use(mesh: Mesh) -> None:
        mesh.publish(make_table(5, make_route()))
        await mesh.wait_until(lambda: mesh.nodes[0].node.version == 5)
        mesh.publish(DEFAULT_TABLE)
        mesh.store.write('op', 'config', b'unreadable')
        mesh.publish(make_table(6, make_route()))
        await mesh.wait_until(lambda: mesh.nodes[0].node.version == 6)

    run(use, 1)


def test_leaving_is_written_to_the_store():
    """The stored row shows the next start that the server leaves."""

    async def use(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        last = pair.node.backend.last_announcement
        pair.announce(
            last._replace(
                status=ServerStatus.LEAVING, sequence=last.sequence + 1
            )
        )
        await pair.own_row.save()
        key = str(pair.node.settings.node_address)
        rows = mesh.store.tables['nodes']
        kept = decode_record(rows[key].content)
        assert kept.is_leaving
        assert kept.instance_id == last.instance_id

    run(use, 1)


def test_changed_row_is_written_after_an_outage():
    """A row that changed during an outage is written after it."""

    async def use(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        mesh.store.is_down = True
        pair.announce(ready_announcement()._replace(born_ms=10**9))
        await asyncio.sleep(0.3)
        mesh.store.is_down = False
        loop = asyncio.get_running_loop()
        back_s = loop.time()
        key = str(pair.node.settings.node_address)
        instance_id = pair.node.backend.instance_id

        def is_back() -> bool:
            row = mesh.store.tables['nodes'][key]
            return decode_record(row.content).instance_id == instance_id

        await mesh.wait_until(is_back)
        assert loop.time() - back_s < 2

    run(use, 1)


def test_planned_stop_completes_running_requests():
    """Requests in flight are answered; other nodes get the later ones."""

    async def use(mesh: Mesh) -> None:
        stopping, staying = mesh.nodes
        asking = [
            asyncio.create_task(mesh.ask(stopping, f'/post/{number}', b'x'))
            for number in range(8)
        ]
        await asyncio.sleep(0)
        leaving = asyncio.create_task(leave_mesh_node(stopping))
        answers = await asyncio.gather(*asking)
        assert {one.head.status for one in answers} == {200}
        assert not stopping.node.is_ready
        later = await mesh.ask(staying, '/post/later', b'x')
        assert later.head.status == 200
        await leaving
        counts = [len(one.backend.received_requests) for one in mesh.nodes]
        assert sum(counts) == 9

    run(use, 2)


def test_start_makes_few_store_calls():
    """A node that starts alone makes at most five store calls."""

    async def use(mesh: Mesh) -> None:
        await asyncio.sleep(0.5)
        assert len(mesh.store.calls) <= 5, mesh.store.calls

    run(use, 1)


def test_first_start_reads_rows_once():
    """At the first start of a deployment, a node reads after its write."""

    async def use(mesh: Mesh) -> None:
        pair = mesh.make(9)
        settings = pair.node.settings._replace(is_first_start=True)
        pair.node.settings = settings
        await pair.backend.start()
        mesh.store.calls.clear()
        pair.tasks = await start_mesh_node(pair)
        mesh.nodes.append(pair)
        pair.announce(ready_announcement())
        await mesh.wait_until_connected()
        await asyncio.sleep(0.5)
        assert mesh.store.calls.count('read') == 2, mesh.store.calls

    run(use, 1)
