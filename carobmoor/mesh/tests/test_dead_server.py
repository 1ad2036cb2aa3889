"""A backend server that takes no connection counts as failing at once."""

import time

from carobmoor.mesh.tests.fixtures import Mesh
from carobmoor.mesh.tests.test_forwarding import run

OK = 200
# Other servers are better then by more than any queue.
MOST_SUCCESS = 0.1


async def _stop_and_ask(mesh: Mesh) -> tuple[int, float]:
    dead = mesh.nodes[0]
    await dead.backend.stop()
    told = await mesh.ask(dead, '/get/1')
    success = dead.node.backend.success
    return told.head.status, success.at(time.monotonic())


def test_refused_connection_is_proof():
    """One refusal is enough, and the request is answered elsewhere."""
    status, success = run(_stop_and_ask, None, None)
    assert status == OK
    assert success < MOST_SUCCESS


def test_server_comes_back_by_and_by():
    """It is trusted again within seconds, though not at once."""

    async def scenario(mesh: Mesh) -> list[int]:
        await _stop_and_ask(mesh)
        node = mesh.nodes[0].node
        rate = node.backend.success
        at_s = rate.noted_at_s
        return [int(100 * rate.at(at_s + later_s)) for later_s in (0, 2, 10)]

    assert run(scenario, None, None) == [0, 50, 97]
