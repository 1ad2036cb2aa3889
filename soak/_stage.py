"""The processes, links and servers of one soak run, and its history."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from carobmoor.history import Event, EventKind
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)
from proofs._relay import Mode, Relay
from soak._callers import HOST
from soak._server import HEALTH_PATH, AnnouncingServer
from stand_ins.deployment import Deployment

SERVICE: Final = 'svc'
_ZONES: Final = ('north-a', 'north-b', 'south-a')
GOSSIP_PORT: Final = 7620
NODE_PORT: Final = 8300
_SERVER_PORT: Final = 8301
_READY_PORT: Final = 8302
_CALLER_PORT: Final = 8304
CONTROL_PORT: Final = 8306
_STORE_PORT: Final = 8309
# The server listens here; nodes reach it through the relay at `_SERVER_PORT`.
_REAL_SERVER_PORT: Final = 8311
_OK: Final = 200
_TIMEOUT_S: Final = 1.0
_RETRY_S: Final = 0.3
# Each seed uses a block of loopback addresses of its own. Processes that are
# started together have adjacent ids, and may run this many seeds.
_SEEDS_PER_PROCESS: Final = 100
_block_numbers: Final = itertools.count(os.getpid() * _SEEDS_PER_PROCESS)
_BLOCK_SIZE: Final = 250
_FIRST_BLOCK: Final = 20
_BLOCK_COUNT: Final = 100


class Place(NamedTuple):
    """The place of one node and its backend server."""

    number: int
    ip: str
    zone: str

    def at(self, port: int) -> Address:
        """Return the address of a port at this place."""
        return Address(self.ip, port)


class SoakDeployment(Deployment):
    """A deployment of node processes; servers and relays run in this one."""

    def __init__(self, nodes: int) -> None:
        """Lay out the places; starts nothing."""
        super().__init__()
        block = next(_block_numbers)
        first = _FIRST_BLOCK + block // _BLOCK_SIZE % _BLOCK_COUNT
        net = f'127.{first}.{block % _BLOCK_SIZE}'
        self.places = [
            Place(number, f'{net}.{number + 1}', _ZONES[number % 3])
            for number in range(nodes)
        ]
        self.events: list[Event] = []
        self.servers: dict[Place, AnnouncingServer] = {}
        self.relays: dict[tuple[str, Place], Relay] = {}
        # How often the process of each node was started.
        self.start_counts: dict[Place, int] = dict.fromkeys(self.places, 0)
        self.stopping: set[Place] = set()
        self.version = 0
        self._servers: list[asyncio.Server] = []

    async def __aexit__(self, *raised: object) -> None:
        """Close the servers and relays and end the processes."""
        for backend in self.servers.values():
            backend.crash()
        for server in self._servers:
            server.close()
        for relay in self.relays.values():
            relay.close()
        await super().__aexit__(*raised)

    def record(
        self, kind: EventKind, process: str = 'soak', **fields: Any
    ) -> None:
        """Record one event."""
        self.events.append(Event(time.monotonic(), process, kind, **fields))

    async def start_all(self) -> None:
        """Start everything, publish the routes and wait until all is ready."""
        for place in self.places:
            await self._add_relay('store', place, _STORE_PORT, self.platform)
            real = place.at(_REAL_SERVER_PORT)
            await self._add_relay('server', place, _SERVER_PORT, real)
            backend = AnnouncingServer(
                self.record, real, place.at(CONTROL_PORT)
            )
            backend.service = SERVICE
            backend.announced_address = place.at(_SERVER_PORT)
            self.servers[place] = backend
            await backend.start()
            await self.start_place(place)
        await self.publish()
        await self.wait_until(self.all_ready, 'every node is ready')

    async def start_place(self, place: Place) -> None:
        """Start the node of a place."""
        self.start_counts[place] += 1
        path = self.folder / f'node-{place.number}.conf'
        path.write_text(self.settings_text(place))
        log = self.log_of(place).open('ab')
        self.processes[place.ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'carobmoor.platform',
            env={**os.environ, 'CAROBMOOR_CONFIG': str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def settings_text(self, place: Place) -> str:
        """Return the contents of a node's settings file."""
        return settings_of(place)

    def encode_routes(self) -> bytes:
        """Return the routes of the present version."""
        return json.dumps(_build_routes(self.version)).encode()

    def log_of(self, place: Place) -> Path:
        """Return the path of the log file of a node."""
        return Path(self.folder / f'node-{place.number}.log')

    def is_running(self, place: Place) -> bool:
        """Return whether the node's process runs and was not told to stop."""
        ended = self.processes[place.ip].returncode is not None
        return not ended and place not in self.stopping

    def survives_reload(self, place: Place) -> bool:
        """Return whether the node's process would survive a reload signal."""
        return has_handler(self.processes[place.ip].pid, signal.SIGHUP)

    def send_signal(self, place: Place, number: signal.Signals) -> None:
        """Send a signal to the node of a place, unless it has ended.

        `Process.send_signal` would take the exit code of a process that has
        just ended from the task that waits for it.
        """
        process = self.processes[place.ip]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)

    async def wait_ended(self, place: Place) -> int:
        """Wait until the node's process ends; returns its exit code."""
        return await self.processes[place.ip].wait()

    async def publish(self) -> int:
        """Write the next version of the routes, as the operator does.

        Retries until the store has acknowledged it, or a newer one that is
        published meanwhile; returns the version.
        """
        self.version += 1
        version = self.version
        while True:
            if await self.write_row('op', 'config', self.encode_routes):
                return version
            await asyncio.sleep(_RETRY_S)

    async def write_row(
        self, table: str, key: str, encode: Callable[[], bytes]
    ) -> bool:
        """Write a row, whatever it holds; returns whether that succeeded.

        `encode` is called once the present row was read, so that what it
        returns is not older than that.
        """
        query = urlencode(
            {'table': table, 'startKey': key, 'target': f'{key}\0'}
        )
        read_rows = await self._call_store('GET', f'/v1/rows-get?{query}')
        if read_rows is None:
            return False
        rows = json.loads(read_rows)['rows']
        row = {'table': table, 'part': '', 'key': key}
        before = rows[0]['rowVersion'] if rows else 0
        transaction = {
            'expected': [{**row, 'rowVersion': before}],
            'put': [{**row, 'value': base64.b64encode(encode()).decode()}],
        }
        body = json.dumps(transaction).encode()
        return await self._call_store('POST', '/v1/rows-tx', body) is not None

    async def all_ready(self) -> bool:
        """Return whether every node reports that it is ready."""
        return all([await self.is_ready(place) for place in self.places])

    async def is_ready(self, place: Place) -> bool:
        """Ask a node as the platform does; returns whether it is ready."""
        if not self.is_running(place):
            return False
        asked = await request_json(
            ConnectionPool(),
            place.at(_READY_PORT),
            OutgoingRequest('GET', '/v1/ready', ()),
            _TIMEOUT_S,
        )
        return bool(asked.is_ok() and asked.unwrap().head.status == _OK)

    def caller_address(self, place: Place) -> Address:
        """Return the address at which a node serves callers."""
        return place.at(_CALLER_PORT)

    def set_link_mode(
        self, link: str, place: Place, mode: Mode, amount: int
    ) -> None:
        """Inject a fault into a link, or mend it."""
        self.relays[(link, place)].switch_mode(mode, amount)

    async def _add_relay(
        self, link: str, place: Place, port: int, target: Address
    ) -> None:
        relay = Relay(target)
        self.relays[(link, place)] = relay
        self._servers.append(await relay.listen(place.at(port)))

    async def _call_store(
        self, method: str, target: str, body: bytes = b''
    ) -> bytes | None:
        request = OutgoingRequest(method, target, (), body)
        asked = await request_json(
            self.pool, self.platform, request, _TIMEOUT_S
        )
        if asked.is_err() or asked.unwrap().head.status != _OK:
            return None
        return asked.unwrap().body


def has_handler(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or handles a signal."""
    try:
        status = Path(f'/proc/{pid}/status').read_text()
    except FileNotFoundError:
        # The process has ended meanwhile.
        return False
    fields = dict(line.split(':\t', 1) for line in status.splitlines())
    handled = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
    return bool(handled >> (number - 1) & 1)


def probe_target(version: int) -> str:
    """Return a path that has a route from a version on."""
    return f'/v{version}/probe'


def settings_of(place: Place) -> str:
    """Return the contents of a node's settings file."""
    fields = {
        'node': f'node-{place.number}',
        'ip': place.ip,
        'zone': place.zone,
        'region': place.zone.partition('-')[0],
        **{f'zones.{zone}': zone.partition('-')[0] for zone in _ZONES},
        'service': SERVICE,
        'app': place.at(_SERVER_PORT),
        'listen.outbound': place.at(_CALLER_PORT),
        'listen.inbound': place.at(NODE_PORT),
        'listen.readiness': place.at(_READY_PORT),
        'listen.control': place.at(CONTROL_PORT),
        'internalPorts': f'{GOSSIP_PORT},{GOSSIP_PORT + 15}',
        'platform.address': place.at(_STORE_PORT),
        'heartbeat': '300ms',
        'bounds': 'grace=6s,retryBudgetRatio=0.2,retryBudgetSlack=58',
    }
    return ''.join(f'{name}={content}\n' for name, content in fields.items())


def _build_routes(version: int) -> Any:
    kinds = {
        '/get/': 'idempotent',
        '/post/': 'non_idempotent',
        '/up/': 'upload',
    }
    probes = {f'/v{known}/': 'idempotent' for known in range(1, version + 1)}
    rules = [
        {
            'match': {'prefix': prefix},
            'action': {'service': SERVICE, 'timeout': '1s', 'attempts': 2},
            'routeType': kind,
            'targetLatency': '400ms',
            'priority': 1,
        }
        for prefix, kind in (kinds | probes).items()
    ]
    return {
        'version': f'r{version}',
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeout': '3s',
            'idleTimeout': '15s',
        },
        'listeners': [{'host': HOST, 'routeRules': rules}],
        'clusters': [{'name': SERVICE, 'healthCheckPath': HEALTH_PATH}],
    }
