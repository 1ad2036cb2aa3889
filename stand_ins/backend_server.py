"""Simulates a backend server.

Run it as `python -m stand_ins.backend_server --port PORT --name NAME`. It
answers each request after the service time with its name, the request id and
the digest of the body, and counts how often each request id was started.
`POST /_backend/faults` injects faults; `GET /_backend/starts` returns the
counters of started, completed and cancelled requests.
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import time
from typing import Any

import fire
import uvicorn
import xxhash

from carobmoor.history import EventKind, EventRecorder, make_recorder

_CRASH_HEADER = b'x-crash'
_SERVICE_MS_HEADER = b'x-service-ms'
_REQUEST_ID_HEADER = b'x-carobmoor-request-id'


class Backend:
    """The slots, injected faults and counters of one backend server."""

    def __init__(
        self,
        name: str,
        slots: int,
        service_ms: float,
        record: EventRecorder,
    ) -> None:
        """Create a server without faults."""
        self.name = name
        self.record = record
        self.slots = slots
        self.service_ms = service_ms
        self.slowdown = float(1)
        self.fails = False
        self.sheds = False
        self.drains = False
        # While the process is younger than this, drawn service times are
        # 5 times as long.
        self.cold_start_ms = 0
        self.health = 'honest'
        self.load_lag_ms = 0
        self.started_s = time.monotonic()
        self.in_flight = 0
        self.max_in_flight = 0
        self.cancelled = 0
        self.starts: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.rng = random.Random(name)

    def service_time_s(self, headers: dict[bytes, bytes]) -> float:
        """Return the service time that the request asks for, or draw one.

        Drawn times are exponential. Their mean is `service_ms` times
        `slowdown`, and 5 times that during a cold start.
        """
        requested_ms = headers.get(_SERVICE_MS_HEADER)
        if requested_ms is not None:
            return float(requested_ms) / 1000
        age_ms = (time.monotonic() - self.started_s) * 1000
        cold_factor = 5 if age_ms < self.cold_start_ms else 1
        return (
            self.rng.expovariate(1)
            * self.service_ms
            * self.slowdown
            * (cold_factor / 1000)
        )


def make_application(backend: Backend) -> Any:
    """Create the ASGI application of a backend server."""
    reported_load = [0]

    async def application(scope: Any, receive: Any, send: Any) -> None:
        if scope['type'] != 'http':
            return
        if scope['path'].startswith('/_backend/'):
            await _control(backend, reported_load, scope, receive, send)
            return
        headers = dict(scope['headers'])
        await _serve(backend, headers, scope, receive, send)

    return application


async def _serve(
    backend: Backend,
    headers: dict[bytes, bytes],
    scope: Any,
    receive: Any,
    send: Any,
) -> None:
    request_id = headers.get(_REQUEST_ID_HEADER, b'').decode()
    backend.starts[request_id] = backend.starts.get(request_id, 0) + 1
    backend.in_flight += 1
    backend.record(
        EventKind.STARTED,
        request_id=request_id,
        running=backend.in_flight,
    )
    backend.max_in_flight = max(backend.max_in_flight, backend.in_flight)
    try:
        await _run_request(backend, request_id, headers, scope, receive, send)
    finally:
        backend.in_flight -= 1


async def _run_request(
    backend: Backend,
    request_id: str,
    headers: dict[bytes, bytes],
    scope: Any,
    receive: Any,
    send: Any,
) -> None:
    if _CRASH_HEADER in headers:
        os.kill(os.getpid(), signal.SIGKILL)
    if backend.fails:
        await _record_and_send(backend, request_id, send, 500, b'failed')
        return
    if backend.sheds or backend.drains:
        await _record_and_send(backend, request_id, send, 503, b'shedding')
        return
    digest, received_bytes, request_digest = await _read_body(receive)
    disconnected = asyncio.ensure_future(_wait_for_disconnect(receive))
    service_timer = asyncio.ensure_future(
        asyncio.sleep(backend.service_time_s(headers)),
    )
    await asyncio.wait(
        (disconnected, service_timer), return_when=asyncio.FIRST_COMPLETED
    )
    disconnected.cancel()
    if not service_timer.done():
        service_timer.cancel()
        backend.cancelled += 1
        return
    backend.ended[request_id] = backend.ended.get(request_id, 0) + 1
    answer_bytes = int(headers.get(b'x-answer-bytes', b'0'))
    if answer_bytes:
        await _send_large_answer(send, answer_bytes)
        return
    await _record_and_send(
        backend,
        request_id,
        send,
        200,
        json.dumps(
            {
                'backend_server': backend.name,
                'request_id': request_id,
                'body_sha256': digest,
                'body_bytes': received_bytes,
                'target': scope['path'],
            },
        ).encode(),
        request_digest,
    )


async def _record_and_send(
    backend: Backend,
    request_id: str,
    send: Any,
    status: int,
    body: bytes,
    request_digest: str = '',
) -> None:
    backend.record(
        EventKind.ENDED,
        request_id=request_id,
        asked=request_digest,
        digest=xxhash.xxh64_hexdigest(body),
    )
    await _send_answer(send, status, body, request_id)


async def _read_body(receive: Any) -> tuple[str, int, str]:
    digest = hashlib.sha256()
    request_digest = xxhash.xxh64()
    received_bytes = 0
    more = True
    while more:
        message = await receive()
        chunk = message.get('body', b'')
        digest.update(chunk)
        request_digest.update(chunk)
        received_bytes += len(chunk)
        more = message.get('more_body', False)
    return digest.hexdigest(), received_bytes, request_digest.hexdigest()


async def _wait_for_disconnect(receive: Any) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


async def _send_answer(
    send: Any,
    status: int,
    body: bytes,
    request_id: str = '',
) -> None:
    headers = [
        (b'content-length', str(len(body)).encode()),
        (_REQUEST_ID_HEADER, request_id.encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})


async def _send_large_answer(send: Any, remaining_bytes: int) -> None:
    headers = [(b'content-length', str(remaining_bytes).encode())]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers},
    )
    while remaining_bytes:
        chunk = bytes(min(remaining_bytes, 65536))
        remaining_bytes -= len(chunk)
        message = {'type': 'http.response.body', 'body': chunk}
        await send({**message, 'more_body': remaining_bytes > 0})


async def _control(
    backend: Backend,
    reported_load: list[int],
    scope: Any,
    receive: Any,
    send: Any,
) -> None:
    if scope['path'] == '/_backend/faults':
        message = await receive()
        for name, setting in json.loads(message['body'] or b'{}').items():
            setattr(backend, name, setting)
        reply: Any = {'name': backend.name}
    elif scope['path'] == '/_backend/health':
        actual_health = 'ok' if not backend.fails else 'failing'
        reply = actual_health if backend.health == 'honest' else backend.health
    elif scope['path'] == '/_backend/load':
        reply = reported_load[0]
        asyncio.get_running_loop().call_later(
            backend.load_lag_ms / 1000,
            reported_load.__setitem__,
            0,
            backend.in_flight,
        )
    else:
        reply = {
            'starts': backend.starts,
            'ended': backend.ended,
            'most_in_flight': backend.max_in_flight,
            'cancelled': backend.cancelled,
        }
    await _send_answer(send, 200, json.dumps(reply).encode())


def serve(
    port: int,
    name: str = 'backend-server',
    ip: str = '127.0.0.1',
    slots: int = 9,
    service_ms: float = 5,
    history_path: str = '',
    history_name: str = '',
) -> None:
    """Serve until stopped; SIGTERM lets running requests complete first."""
    record = make_recorder(history_path, history_name or f'{ip}:{port}')
    backend = Backend(name, slots, service_ms, record)
    uvicorn.run(
        make_application(backend),
        host=ip,
        port=port,
        loop='asyncio',
        lifespan='off',
        log_level='error',
        timeout_keep_alive=75,
    )


if __name__ == '__main__':
    fire.Fire(serve)
