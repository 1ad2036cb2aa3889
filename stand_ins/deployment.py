"""Starts a small deployment as separate processes on the loopback interface.

Used by the demo, the benchmarks and the tests; not part of the product. All
processes are ended by pid when the `async with` block exits.
"""

import asyncio
import contextlib
import hashlib
import json
import random
import signal
import socket
import ssl
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple, Self

import json5

from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)

OPERATOR_TOKEN = 'operator-token-of-the-stand-ins'
_IP = '127.0.0.1'
# Below the ephemeral port range of the system.
_PORT_RANGE = (10_240, 32_000)
_returned_ports: set[int] = set()
_MAX_CHECKS = 300
_CHECK_INTERVAL_S = 0.05
_STOP_TIMEOUT_S = 20
_REQUEST_TIMEOUT_S = 5


class Place(NamedTuple):
    """The location and properties of a backend server to start with a node."""

    service: str
    region: str
    availability_zone: str
    slots: int = 9
    service_ms: float = 5


class ServerPair(NamedTuple):
    """A running backend server and the node beside it."""

    place: Place
    name: str
    node: Address
    backend_server: Address
    settings_path: Path


class Deployment:
    """The processes of a deployment: platform, backend servers and nodes."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        """Prepare a deployment; no process is started yet.

        With `tls`, control requests to nodes are encrypted.
        """
        self.node_pool = ConnectionPool(tls)
        self.pairs: list[ServerPair] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.pool = ConnectionPool()
        self._folder = tempfile.TemporaryDirectory(prefix='carobmoor-')
        self.folder = Path(self._folder.name)
        self.platform = Address(_IP, free_port())

    async def __aenter__(self) -> Self:
        """Start the stand-in of the platform and wait until it answers."""
        await self.spawn('platform', 'stand_ins.platform', self.platform)
        await self.wait_until(self._is_platform_ready, 'the platform answers')
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kill every running process and remove the temporary folder."""
        self.pool.close()
        self.node_pool.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self._folder.cleanup()

    async def start(
        self,
        places: Sequence[Place],
        document: Mapping[str, Any],
        extra_settings: Mapping[str, Any] | None = None,
    ) -> None:
        """Start all pairs, publish the configuration and wait for readiness."""
        for place in places:
            await self.add_pair(place, extra_settings or {})
        for pair in self.pairs:
            await self.wait_for_status(pair, 'address', str(pair.node))
        await self.publish(document, 0)
        for pair in self.pairs:
            await self.wait_for_status(pair, 'is_ready', True)
            await self.wait_for_status(pair, 'members', len(self.pairs))

    async def add_pair(
        self,
        place: Place,
        extra_settings: Mapping[str, Any],
    ) -> ServerPair:
        """Start a backend server and its node."""
        name = f'{place.service}-{len(self.pairs)}'
        node = Address(_IP, free_port())
        backend_server = Address(_IP, free_port())
        path = self.folder / f'{name}.json'
        pair = ServerPair(place, name, node, backend_server, path)
        settings = {**self._settings_of(pair), **extra_settings}
        path.write_text(json.dumps(settings))
        self.pairs.append(pair)
        await self.start_backend(pair)
        await self.start_node(pair)
        return pair

    async def start_backend(self, pair: ServerPair) -> None:
        """Start the backend server of a pair."""
        await self.spawn(
            f'backend {pair.name}',
            'stand_ins.backend_server',
            pair.backend_server,
            f'--name={pair.name}',
            f'--slots={pair.place.slots}',
            f'--service_ms={pair.place.service_ms}',
        )

    async def start_node(self, pair: ServerPair) -> None:
        """Start the node of a pair."""
        log = (self.folder / f'{pair.name}.log').open('ab')
        self.processes[
            f'node {pair.name}'
        ] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'carobmoor',
            'node',
            f'--settings={pair.settings_path}',
            stderr=log,
        )
        log.close()

    async def spawn(
        self,
        key: str,
        module: str,
        address: Address,
        *arguments: str,
    ) -> None:
        """Start a stand-in module as a process under `key`."""
        self.processes[key] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            f'--port={address.port}',
            *arguments,
        )

    async def publish(
        self, document: Mapping[str, Any], base_version: int
    ) -> Any:
        """Submit a configuration at the first node, based on `base_version`."""
        body = json.dumps(
            {
                'base_version': base_version,
                'reason': 'deployment',
                'document': document,
            },
        )
        return await self.request_control(
            self.pairs[0].node,
            'PUT',
            '/_carobmoor/configuration',
            body.encode(),
        )

    async def request_control(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> Any:
        """Send a control request and return its JSON answer.

        Returns `None` if the request fails or its answer has no body.
        """
        headers = ((b'authorization', f'Bearer {OPERATOR_TOKEN}'.encode()),)
        request = OutgoingRequest(method, target, headers, body)
        is_node = any(pair.node == address for pair in self.pairs)
        response = await request_json(
            self.node_pool if is_node else self.pool,
            address,
            request,
            _REQUEST_TIMEOUT_S,
        )
        if response.is_err():
            return None
        return json.loads(response.unwrap().body or b'null')

    async def set_faults(self, address: Address, **faults: Any) -> Any:
        """Inject faults into a stand-in."""
        is_platform = address == self.platform
        target = '/faults' if is_platform else '/_backend/faults'
        return await self.request_control(
            address,
            'POST',
            target,
            json.dumps(faults).encode(),
        )

    async def stop(self, key: str, signal_number: int) -> int:
        """Signal a process, wait for its exit and return the exit code."""
        process = self.processes[key]
        process.send_signal(signal_number)
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            return await process.wait()

    async def kill(self, key: str) -> int:
        """Send SIGKILL to a process and return its exit code."""
        return await self.stop(key, signal.SIGKILL)

    async def wait_for_status(
        self, pair: ServerPair, field: str, wanted: Any
    ) -> None:
        """Wait until a field of a node's status has the wanted value."""

        async def has_value() -> bool:
            status = await self.request_control(
                pair.node, 'GET', '/_carobmoor/status'
            )
            return status is not None and status[field] == wanted

        await self.wait_until(has_value, f'{pair.name}: {field} is {wanted}')

    async def wait_until(self, condition: Any, description: str) -> None:
        """Poll a condition until it holds.

        Raises `TimeoutError` with `description` in its text after 300 checks,
        with 50 ms between them.
        """
        for _ in range(_MAX_CHECKS):
            if await condition():
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)
        raise TimeoutError(
            f'condition not met after {_MAX_CHECKS} checks: {description}',
        )

    async def _is_platform_ready(self) -> bool:
        return (
            await self.request_control(self.platform, 'GET', '/faults')
            is not None
        )

    def operators(self) -> Sequence[Mapping[str, Any]]:
        """Return the operators for the settings of the nodes."""
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        return [
            {
                'name': 'stand-in-operator',
                'token_sha256': digest,
                'teams': ['*'],
            },
        ]

    def _settings_of(self, pair: ServerPair) -> Mapping[str, Any]:
        platform = self.platform._asdict()
        place = pair.place
        return {
            'listen': pair.node._asdict(),
            'place': {
                'region': place.region,
                'availability_zone': place.availability_zone,
            },
            'service': place.service,
            'backend_server': pair.backend_server._asdict(),
            'platform': {'table_service': platform, 'object_store': platform},
            'peers': [str(other.node) for other in self.pairs[:3]],
            'operators': self.operators(),
        }


def free_port(ip: str = _IP) -> int:
    """Find an unused port that this process has not returned before.

    Ports from the ephemeral range are avoided, since an outgoing connection
    could take the port before the process it is meant for has bound it.
    Another process may be given the same port.
    """
    while True:
        port = random.SystemRandom().randrange(*_PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            if port not in _returned_ports:
                _returned_ports.add(port)
                return port


def read_example(name: str) -> Any:
    """Read a configuration document from the folder `examples`."""
    folder = Path(__file__).parent.parent / 'examples'
    return json5.loads((folder / f'{name}.json').read_text())
