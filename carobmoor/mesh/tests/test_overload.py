"""Requests that can't be served are refused at once, and truthfully."""

import asyncio
import time

from carobmoor.mesh.tests.fixtures import (
    SERVICE,
    Mesh,
    NodeWithServer,
    running_mesh,
)
from carobmoor.mesh.tests.scripted import NAMES, id_header
from carobmoor.mesh.tests.test_membership import run
from carobmoor.transport import IncomingRequest, get_header

NOT_RUN = 503
TYPICAL_MS = 300
DEADLINE_MS = 700
SLOW_PERCENT = 500


def slow_down(pair: NodeWithServer) -> None:
    """Make a server with a typical time of 300 ms slow, for now."""
    backend = pair.node.backend
    now_s = time.monotonic()
    pair.node.times.service_times.record('route/get/', TYPICAL_MS)
    pair.node.times.service_times.record('route/post/', TYPICAL_MS)
    backend.record_slowdown(100, now_s)
    backend.record_slowdown(SLOW_PERCENT, now_s)


def test_start_that_would_be_too_late_is_refused():
    """A slow server gets no request that it can't finish in time.

    Its caller hears "not run" before its deadline, and may come back.
    """

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        pair.backend.load = f'0,0,4,{SLOW_PERCENT}'
        slow_down(pair)
        started_s = time.monotonic()
        answer = await mesh.ask(pair, '/post/1', b'x', deadline_ms=DEADLINE_MS)
        assert answer.head.status == NOT_RUN
        assert get_header(answer.head.headers, b'retry-after')
        assert time.monotonic() - started_s < DEADLINE_MS / 1000
        assert not pair.backend.received_requests

    run(check, 1)


async def _refuse(request: IncomingRequest) -> None:
    await asyncio.sleep(0.25)
    request.respond(503, (id_header(request), (NAMES.not_run, b'1')))


def test_hedge_that_did_not_run_is_told():
    """When neither attempt of a hedged request ran, its caller hears so."""
    asyncio.run(_ask_refusing_servers())


async def _ask_refusing_servers() -> None:
    async with running_mesh(_refuse, _refuse) as mesh:
        for pair in mesh.nodes:
            for _ in range(50):
                pair.node.times.response_times.record('route/get/', 50)
                pair.node.resend_budget.record_request(
                    SERVICE, time.monotonic()
                )
        answer = await mesh.ask(mesh.nodes[0], '/get/1', deadline_ms=1400)
        received = [len(pair.backend.received_requests) for pair in mesh.nodes]
        assert sum(received) == 2
        assert answer.head.status == NOT_RUN
