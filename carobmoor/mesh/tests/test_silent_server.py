"""A backend server that accepts requests but never answers is avoided."""

import asyncio

from nose2.tools import params

from carobmoor.mesh.tests.fixtures import Mesh, running_mesh
from carobmoor.mesh.tests.test_forwarding import never_answer

REQUESTS = 8
DEADLINE_MS = 450
OK = 200
TEST_TIMEOUT_S = 20


@params('/get/', '/post/')
def test_silent_server_is_avoided(prefix):
    """After the first unanswered requests, another server is preferred.

    A hung server sends no error, so its silence has to count as a failure.
    """
    asyncio.run(_ask_with_silent_server(prefix))


async def _ask_with_silent_server(prefix: str) -> None:
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        running_mesh(never_answer, None) as mesh,
    ):
        statuses = [await _ask(mesh, prefix, n) for n in range(REQUESTS)]
        assert set(statuses[-3:]) == {OK}, statuses


async def _ask(mesh: Mesh, prefix: str, number: int) -> int:
    answer = await mesh.ask(
        mesh.nodes[0],
        f'{prefix}{number}',
        b'x' if prefix == '/post/' else b'',
        DEADLINE_MS,
        f'request-{number}',
    )
    return answer.head.status
