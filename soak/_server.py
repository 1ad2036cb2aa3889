"""A backend server that registers itself with the node beside it."""

import asyncio
import itertools
import json
import time
from collections.abc import Sequence
from typing import Any, Final

import xxhash

from carobmoor.history import EventKind
from carobmoor.transport import (
    Address,
    ConnectionPool,
    IncomingRequest,
    Listener,
    OutgoingRequest,
    ServingLimits,
    get_header,
    request_json,
)

REQUEST_ID: Final = b'x-carobmoor-request-id'
SIGNATURE: Final = b'x-carobmoor-response-signature'
_EXPECTED_INSTANCE: Final = b'x-carobmoor-expected-instance'
_NOT_RUN: Final = b'x-carobmoor-not-executed'
_LOAD_HEADER: Final = b'x-carobmoor-server-load'
_RATE_LIMIT: Final = b'server-limit'
LEAVING: Final = b'server-leaving'
HEALTH_PATH: Final = '/health'
_HEARTBEAT_S: Final = 0.3
_ACK_TIMEOUT_S: Final = 1.0
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_OK: Final = 200
# How long a leaving server still serves after its node acknowledged it.
_DRAIN_S: Final = 2.5
_QUEUE_LIMIT: Final = 8
_MS_PER_S: Final = 1000
_instance_numbers = itertools.count(1)


class AnnouncingServer:
    """A backend server that can crash, leave and start as a new instance."""

    def __init__(
        self, record: Any, address: Address, control_address: Address
    ) -> None:
        """Set the address to serve at and the node's to register at."""
        self.service = ''
        self.slots = 6
        self.service_ms = 30
        self.slowdown = 1
        # The rate limit that every answer names; 0 if none.
        self.rate_limit_per_s = 0
        # Whether every answer says that the server leaves.
        self.says_leaving = False
        self.instance_id = ''
        self._record = record
        self._address = address
        # As the settings of its node name it; a relay may stand before it.
        self.announced_address = address
        self._control_address = control_address
        self._state = 'ready'
        self._started_ms = 0
        self._sequence = 0
        self._running = 0
        self._pool = ConnectionPool()
        self._listener: Listener | None = None
        self._announcing: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Whether the server accepts requests."""
        return self._listener is not None

    async def start(self) -> None:
        """Start serving as a new instance."""
        self.instance_id = f'i-{next(_instance_numbers)}'
        self._started_ms = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self._running = 0
        self._state = 'ready'
        self.rate_limit_per_s = 0
        self.says_leaving = False
        self._listener = Listener(self._serve, ServingLimits)
        await self._listener.listen(self._address)
        self._announcing = asyncio.create_task(self._send_heartbeats())

    def crash(self) -> None:
        """End at once and abort all connections."""
        if self._listener is None:
            return
        self._listener.stop_accepting()
        for connection in tuple(self._listener.connections):
            connection.abort()
        self._listener = None
        if self._announcing is not None:
            self._announcing.cancel()

    async def leave(self) -> None:
        """Announce the leaving, serve on until drained, deregister and end."""
        self._state = 'draining'
        leaving = self.instance_id
        while self.instance_id == leaving and self.is_up:
            if await self._announce('heartbeat'):
                self._record(
                    EventKind.LEAVING,
                    process=f'node of {leaving}',
                    subject=leaving,
                )
                await asyncio.sleep(_DRAIN_S)
                await self._announce('deregister')
                break
            await asyncio.sleep(_HEARTBEAT_S)
        if self.instance_id == leaving:
            self.crash()

    async def _send_heartbeats(self) -> None:
        while True:
            if self._state == 'ready':
                await self._announce('heartbeat')
            await asyncio.sleep(_HEARTBEAT_S)

    async def _announce(self, call: str) -> bool:
        """Send a call to the node; returns whether it was acknowledged."""
        self._sequence += 1
        announcement = {
            'address': str(self.announced_address),
            'born': self._started_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': '',
                'slots': self.slots,
            },
            'status': {
                'state': self._state,
                'sequence': self._sequence,
                'coldRemaining': '0ms',
            },
        }
        target = f'/v1/instances/{self.instance_id}/{call}'
        called = await request_json(
            self._pool,
            self._control_address,
            OutgoingRequest(
                'POST', target, (), json.dumps(announcement).encode()
            ),
            _ACK_TIMEOUT_S,
        )
        return bool(called.is_ok() and called.unwrap().head.status == _OK)

    async def _serve(self, request: IncomingRequest) -> None:
        if request.target == HEALTH_PATH.encode():
            request.respond(_OK, self._reports())
            return
        expected = get_header(request.headers, _EXPECTED_INSTANCE)
        if expected and expected != self.instance_id:
            self._reject(request, _MISDIRECTED)
        elif self._running >= self.slots + _QUEUE_LIMIT:
            self._reject(request, _UNAVAILABLE)
        else:
            self._running += 1
            try:
                await self._run(request)
            finally:
                self._running -= 1

    async def _run(self, request: IncomingRequest) -> None:
        request_id = get_header(request.headers, REQUEST_ID)
        instance = self.instance_id
        self._record(EventKind.STARTED, process=instance, request_id=request_id)
        body = b''.join([chunk async for chunk in request.chunks()])
        duration_s = self.service_ms * self.slowdown / _MS_PER_S
        await asyncio.wait((request.disconnected,), timeout=duration_s)
        if request.disconnected.done() or instance != self.instance_id:
            return
        answer = f'{request_id} {request.target.decode()}'.encode()
        self._record(
            EventKind.ENDED,
            process=instance,
            request_id=request_id,
            asked=xxhash.xxh64_hexdigest(body),
            digest=xxhash.xxh64_hexdigest(answer),
        )
        headers = (
            (REQUEST_ID, request_id.encode()),
            (SIGNATURE, instance.encode()),
            *self._reports(),
        )
        request.respond(_OK, headers, answer)

    def _reject(self, request: IncomingRequest, status: int) -> None:
        request_id = get_header(request.headers, REQUEST_ID).encode()
        headers = (
            (REQUEST_ID, request_id),
            (_NOT_RUN, b'1'),
            *self._reports(),
        )
        request.respond(status, headers)

    def _reports(self) -> Sequence[tuple[bytes, bytes]]:
        """Return the headers in which the server reports its state."""
        reports = [self._load_header()]
        if self.rate_limit_per_s:
            reports.append((_RATE_LIMIT, b'%d' % self.rate_limit_per_s))
        if self.says_leaving or self._state == 'draining':
            reports.append((LEAVING, b'1'))
        return reports

    def _load_header(self) -> tuple[bytes, bytes]:
        running = min(self._running, self.slots)
        waiting = max(0, self._running - self.slots)
        slowdown_percent = 100 * self.slowdown
        report = f'{running},{waiting},{self.slots},{slowdown_percent}'
        return (_LOAD_HEADER, report.encode())
