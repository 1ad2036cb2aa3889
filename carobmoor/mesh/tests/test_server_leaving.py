"""A backend server that says in its answers that it leaves gets no more."""

import asyncio

import msgspec

from carobmoor.mesh._datagrams import decode_record
from carobmoor.mesh.tests.fixtures import Mesh, NodeWithServer
from carobmoor.mesh.tests.test_membership import run
from carobmoor.transport import IncomingRequest

OK = 200
NOT_RUN = 503


async def _leave_by_answer(mesh: Mesh, pair: NodeWithServer) -> None:
    """Let the server say so in its answer to a request of its own node."""
    await mesh.ask(pair, request_id='first')
    pair.backend.is_leaving = True
    answer = await mesh.ask(pair, request_id='last')
    assert answer.head.status == OK
    pair.backend.received_requests.clear()


# Guards against requests to a server that has said in an answer, but not in
# an announcement, that it leaves.
def test_answer_that_says_leaving_ends_requests():
    """Later requests go to another server, from every node."""

    async def check(mesh: Mesh) -> None:
        leaving, staying = mesh.nodes
        await _leave_by_answer(mesh, leaving)
        statuses = [
            (await mesh.ask(pair, '/post/1', b'x')).head.status
            for pair in (leaving, staying, leaving, staying)
        ]
        assert set(statuses) == {OK}
        assert not leaving.backend.received_requests
        await mesh.wait_until(
            lambda: (
                not staying.node.peers.find_by_ip(
                    leaving.node.settings.ip
                ).has_server
            )
        )

    run(check, 2)


# Guards against waiting for a server that leaves and never comes back.
def test_waiting_requests_are_refused():
    """What waits for a slot is refused at once, and the caller may retry."""

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        released = asyncio.Event()

        async def serve(request: IncomingRequest) -> None:
            await released.wait()
            pair.backend.answer(request)

        pair.backend._serve = serve
        asked = [
            asyncio.ensure_future(
                mesh.ask(pair, '/post/1', b'x', 1900, f'request-{place}')
            )
            for place in range(10)
        ]
        admission = pair.node.gate.state
        received = pair.backend.received_requests
        await mesh.wait_until(
            lambda: len(received) + admission.queued_total == len(asked)
        )
        running = len(received)
        pair.backend.is_leaving = True
        released.set()
        statuses = [one.head.status for one in await asyncio.gather(*asked)]
        # The answer that says so frees one slot before it is read.
        assert len(received) <= running + 1
        assert set(statuses) == {OK, NOT_RUN}

    run(check, 1)


# Guards against an owner that restarts without the store, and takes its
# server for ready again.
def test_restarted_owner_asks_before_first_start():
    """A health check that says leaving keeps the first request from it."""

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        pair.backend.is_leaving = True
        # As after a start: nothing was answered, and the server seems ready.
        assert not pair.node.rate_limit.is_known
        answer = await mesh.ask(pair, '/post/1', b'x')
        assert answer.head.status == NOT_RUN
        assert not pair.backend.received_requests

    run(check, 1)


# Guards against a node that sends to a server of which it has passed on such
# an answer, because the server's node has forgotten it.
def test_caller_node_remembers_leaving():
    """A record of a restarted owner does not make the server a candidate.

    That holds also if the owner was unknown for a while.
    """

    async def check(mesh: Mesh) -> None:
        leaving, staying = mesh.nodes
        peer = staying.node.peers.find_by_ip(leaving.node.settings.ip)
        staying.node.peers.record_leaving(peer.address, peer.server_run)
        assert not peer.has_server
        record = msgspec.structs.replace(
            peer.record, incarnation=peer.record.incarnation + 1, revision=0
        )
        again = staying.node.peers.add_or_update(record, 'north')
        assert not again.has_server
        staying.node.peers.forget(again)
        returned = staying.node.peers.add_or_update(record, 'north')
        assert not returned.has_server

    run(check, 2)


# Guards against a leaving that the next start of the node does not know.
def test_leaving_by_answer_is_stored():
    """The row in the store shows that the server leaves."""

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        await _leave_by_answer(mesh, pair)
        key = str(pair.node.settings.node_address)

        def is_stored() -> bool:
            row = mesh.store.tables['nodes'].get(key)
            return row is not None and decode_record(row.content).is_leaving

        await mesh.wait_until(is_stored)

    run(check, 1)
