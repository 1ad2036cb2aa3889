"""A mesh in one process: nodes, backend servers and a store, on loopback."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from carobmoor.mesh import (
    Announcement,
    HeaderNames,
    MeshNode,
    MeshParts,
    MeshSettings,
    RouteSource,
    Standing,
    start_mesh_node,
)
from carobmoor.routes import (
    CallerLimits,
    Kind,
    Part,
    Route,
    RoutedService,
    RouteTable,
)
from carobmoor.store import Row, RowChanges, StoreFailure, StoreFault
from carobmoor.transport import (
    Address,
    ConnectionPool,
    IncomingRequest,
    JsonAnswer,
    Listener,
    OutgoingRequest,
    ServingLimits,
    header_of,
    read_whole,
    send,
)
from stand_ins.deployment import free_port

NAMES = HeaderNames(
    b'x-id',
    b'x-deadline-ms',
    b'x-signature',
    b'x-expected',
    b'x-load',
    b'x-not-run',
    b'x-caller-service',
)
HOST = 'shop.example'
PATIENCE_S = 5.0
SERVICE = 'bookings'
_MOST_ANSWER_BYTES = 1_000_000
LIMITS = CallerLimits(16_384, 10_000_000, 3000, 15_000)
Serve = Callable[[IncomingRequest], Awaitable[None]]
_instances = itertools.count(1)


class MemoryStore:
    """Rows in memory, with a feed, and a switch that takes it down."""

    def __init__(self) -> None:
        """Start empty."""
        self.tables: dict[str, dict[str, Row]] = {}
        self.version = 0
        self.is_down = False
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, StoreFailure]:
        """Read a row."""
        return self._called('get') or Ok(self.tables.get(table, {}).get(key))

    async def read_rows(
        self, table: str, prefix: str = ''
    ) -> Result[RowChanges, StoreFailure]:
        """Read rows."""
        rows = [
            row
            for key, row in sorted(self.tables.get(table, {}).items())
            if key.startswith(prefix)
        ]
        changes = RowChanges(rows, (), self.version)
        return self._called('read') or Ok(changes)

    async def watch_rows(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowChanges, StoreFailure]:
        """Wait for changes."""
        failed = self._called('watch')
        if failed:
            return failed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._since(table, after_version):
                    await self._changed.wait()
        if self.is_down:
            return self.failure()
        rows = self._since(table, after_version)
        return Ok(RowChanges(rows, (), self.version))

    def _since(self, table: str, version: int) -> list[Row]:
        """Give the rows that changed; a store that is down wakes all."""
        rows = self.tables.get(table, {}).values()
        return [row for row in rows if self.is_down or int(row.etag) > version]

    async def put_row(
        self, table: str, key: str, content: bytes, etag: str
    ) -> Result[Row, StoreFailure]:
        """Write a row under a condition."""
        failed = self._called('put')
        if failed:
            return failed
        known = self.tables.get(table, {}).get(key)
        if (known.etag if known else '') != etag:
            return self.failure(StoreFault.PRECONDITION)
        return Ok(self.write(table, key, content))

    async def delete_row(
        self, table: str, key: str, etag: str
    ) -> Result[None, StoreFailure]:
        """Delete a row."""
        failed = self._called('delete')
        if failed:
            return failed
        self.tables.get(table, {}).pop(key, None)
        return Ok(None)

    def write(self, table: str, key: str, content: bytes) -> Row:
        """Write a row, as an operator does."""
        self.version += 1
        row = Row(key, content, str(self.version))
        self.tables.setdefault(table, {})[key] = row
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        return row

    def take_down(self) -> None:
        """Fail every call from now on."""
        self.is_down = True
        self._changed.set()

    def failure(self, fault: StoreFault = StoreFault.UNAVAILABLE) -> Any:
        """Make a failure."""
        return Err(StoreFailure(fault, 'answer', 'store', 'scripted'))

    def _called(self, call: str) -> Any:
        self.calls.append(call)
        return self.failure() if self.is_down else None


class Backend:
    """A scripted backend server that counts what it ran."""

    def __init__(self, address: Address, serve: Serve | None = None) -> None:
        """Answer with `serve`, or at once."""
        self.address = address
        self.ran: list[IncomingRequest] = []
        self.bodies: list[bytes] = []
        self.load = ''
        self._serve = serve
        self._listener = Listener(self._take, ServingLimits)

    async def start(self) -> None:
        """Listen."""
        await self._listener.listen(self.address)

    async def stop(self) -> None:
        """Listen no longer and cut what is open."""
        self._listener.stop_accepting()
        for connection in tuple(self._listener.connections):
            connection.abort()

    def answer(
        self,
        request: IncomingRequest,
        status: int = 200,
        body: bytes = b'done',
        extra: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Answer as a backend server does."""
        request_id = header_of(request.headers, NAMES.request_id)
        named = (NAMES.request_id, request_id.encode())
        signed = (NAMES.signature, b'signed')
        loaded = ((NAMES.load, self.load.encode()),) if self.load else ()
        request.respond(status, (named, signed, *loaded, *extra), body)

    async def _take(self, request: IncomingRequest) -> None:
        if request.target == b'/health':
            loaded = ((NAMES.load, self.load.encode()),) if self.load else ()
            request.respond(200, loaded)
            return
        self.ran.append(request)
        if self._serve is None:
            chunks = [chunk async for chunk in request.chunks()]
            self.bodies.append(b''.join(chunks))
            self.answer(request)
        else:
            await self._serve(request)


class Beside(MeshParts):
    """A node and its backend server."""

    backend: Backend
    tasks: list[asyncio.Task[None]]

    def announce(self, heard: Announcement) -> None:
        """Take in an announcement as the backend server sends it."""
        self.node.backend.announce(heard)
        self.node.renew_admission()
        self.desk.tell_change()


def route_of(
    kind: Kind = Kind.IDEMPOTENT,
    prefix: str = '/get/',
    parts: Sequence[Part] = (Part(SERVICE, 1),),
    timeout_ms: float = 2000,
    most_attempts: int = 2,
) -> Route:
    """Make a route."""
    return Route(
        f'route{prefix}',
        HOST,
        prefix,
        kind,
        tuple(parts),
        timeout_ms,
        400,
        most_attempts,
        1,
    )


def table_of(version: int, *routes: Route) -> RouteTable:
    """Make a version of the routes."""
    services = {
        part.service: RoutedService(part.service, '/health', 100)
        for route in routes
        for part in route.parts
    }
    by_prefix = {route.prefix: route for route in routes}
    return RouteTable(version, {HOST: by_prefix}, services, LIMITS)


DEFAULT_TABLE = table_of(
    1,
    route_of(),
    route_of(Kind.NON_IDEMPOTENT, '/post/'),
    route_of(Kind.UPLOAD, '/upload/'),
)


def ready(slots: int = 4, service: str = SERVICE) -> Announcement:
    """Make the first heartbeat of a backend server."""
    number = next(_instances)
    return Announcement(
        f'i-{number}', Standing.READY, number, 1, None, service, slots
    )


class Mesh:
    """The nodes of a test, with the store that they share."""

    def __init__(self) -> None:
        """Start with the default routes in the store."""
        self.store = MemoryStore()
        self.versions: dict[bytes, RouteTable] = {}
        self.nodes: list[Beside] = []
        self.pool = ConnectionPool()
        self._news_port = free_port()
        self.publish(DEFAULT_TABLE)

    def publish(self, table: RouteTable) -> None:
        """Write a version of the routes, as operators do."""
        content = b'v%d' % table.version
        self.versions[content] = table
        self.store.write('op', 'config', content)

    def decode(self, content: bytes) -> Result[RouteTable, str]:
        """Decode what `publish` wrote."""
        if content not in self.versions:
            return Err('unreadable')
        return Ok(self.versions[content])

    def make(
        self,
        place: int,
        serve: Serve | None = None,
        service: str = SERVICE,
        zone: str = 'a',
    ) -> Beside:
        """Make a node at `127.0.2.<place>`; nothing runs yet."""
        ip = f'127.0.2.{place}'
        addresses = [Address(ip, free_port(ip)) for _ in range(5)]
        settings = MeshSettings(
            f'node-{place}',
            ip,
            zone,
            'north',
            service,
            *addresses,
            self._news_port,
            Address('127.0.0.1', 1),
            Address(ip, free_port(ip)),
            {'a': 'north', 'b': 'north', 'c': 'south'},
        )
        source = RouteSource('op', 'config', self.decode)
        node = MeshNode(settings, NAMES)
        node.rng = random.Random(place)
        beside = Beside(node, self.store, source, lambda *_: Err('unread'))
        beside.backend = Backend(settings.backend_server, serve)
        return beside

    async def add(
        self,
        place: int,
        serve: Serve | None = None,
        service: str = SERVICE,
        zone: str = 'a',
    ) -> Beside:
        """Start a node with a ready backend server."""
        beside = self.make(place, serve, service, zone)
        await beside.backend.start()
        beside.tasks = await start_mesh_node(beside)
        beside.announce(ready(service=service))
        self.nodes.append(beside)
        return beside

    async def meet(self) -> None:
        """Wait until every node knows all the others and has routes."""
        await self.until(
            lambda: all(self._has_met(one) for one in self.nodes),
        )

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until something holds; raises `TimeoutError`."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                if holds():
                    return
                await asyncio.sleep(0.01)

    async def ask(
        self,
        beside: Beside,
        target: str = '/get/1',
        body: bytes = b'',
        deadline_ms: int = 1500,
        request_id: str = 'request-1',
    ) -> JsonAnswer:
        """Send a caller's request to a node."""
        headers = (
            (b'host', HOST.encode()),
            (NAMES.request_id, request_id.encode()),
            (NAMES.deadline_ms, b'%d' % deadline_ms),
        )
        method = 'POST' if body else 'GET'
        request = OutgoingRequest(method, target, headers, body)
        address = beside.node.settings.caller_address
        pool = ConnectionPool()
        answer = (await send(pool, address, request, PATIENCE_S)).unwrap()
        body = await read_whole(answer, _MOST_ANSWER_BYTES, PATIENCE_S)
        return JsonAnswer(answer.head, body)

    async def close(self) -> None:
        """Stop everything."""
        for beside in self.nodes:
            for task in beside.tasks:
                task.cancel()
            await beside.backend.stop()
            beside.callers.stop_accepting()
            beside.nodes.stop_accepting()
            beside.metrics.stop_accepting()
            beside.desk.close()
            beside.node.node_pool.close()

    def _has_met(self, beside: Beside) -> bool:
        known = [
            peer
            for peer in beside.node.peers
            if peer.is_self or (peer.heard_at_s and peer.has_server)
        ]
        return len(known) >= len(self.nodes) and beside.node.is_ready


@contextlib.asynccontextmanager
async def mesh_of(*serves: Serve | None) -> AsyncIterator[Mesh]:
    """Run one node for each backend server, and wait until they have met."""
    mesh = Mesh()
    try:
        for place, serve in enumerate(serves, 1):
            await mesh.add(place, serve)
        await mesh.meet()
        yield mesh
    finally:
        await mesh.close()
