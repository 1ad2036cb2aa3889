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
    return told.head.status, dead.node.backend.success.at(time.monotonic())


def test_refused_connection_is_proof():
    """One refusal is enough, and the request is answered elsewhere."""
    status, success = run(_stop_and_ask, None, None)
    assert status == OK
    assert success < MOST_SUCCESS


def test_server_comes_back_by_and_by():
    """It is trusted again within seconds, though not at once."""

    async def scenario(mesh: Mesh) -> list[float]:
        await _stop_and_ask(mesh)
        rate = mesh.nodes[0].node.backend.success
        now_s = time.monotonic()
        return [rate.at(now_s + later_s) for later_s in (0, 2, 10)]

    at_once, soon, later = run(scenario, None, None)
    assert at_once < MOST_SUCCESS
    assert 0.4 < soon < 0.6
    assert later > 0.9
