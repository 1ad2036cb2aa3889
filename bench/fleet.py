"""A fleet of nodes without data plane, several per process."""

import asyncio
import json
import socket
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from carobmoor.transport import Address
from stand_ins.deployment import Deployment

_IP = '127.0.0.1'
_ZONES = tuple(
    (region, f'{region}-{letter}')
    for region in ('lagos', 'abuja', 'ibadan')
    for letter in 'ab'
)
_NODES_PER_SERVICE = 5
_READY_TIMEOUT_S = 60
_POLL_INTERVAL_S = 0.1
_FIRST_PORT = 21000


class Cost(NamedTuple):
    """Cost of the control plane per node over a period."""

    datagrams_per_s: float
    datagram_bytes_per_s: float
    calls_per_s: float
    call_bytes_per_s: float
    cpu_percent: float
    resident_mb: float
    store_reads_per_s: float
    store_writes_per_s: float

    def __str__(self) -> str:
        """Format the figures as the columns under `COST_COLUMNS`."""
        return (
            f'{self.datagrams_per_s:>7.2f}{self.datagram_bytes_per_s:>8.0f}'
            f'{self.calls_per_s:>8.3f}{self.call_bytes_per_s:>8.0f}'
            f'{self.cpu_percent:>8.2f}{self.resident_mb:>8.1f}'
            f'{self.store_reads_per_s:>9.1f}{self.store_writes_per_s:>9.1f}'
        )


COST_COLUMNS = (
    'datagr/s   B/s  calls/s     B/s   cpu %      MB  reads/s writes/s\n'
    '(per node; sent bytes; store calls of the whole fleet)'
)


class Fleet(Deployment):
    """The worker processes of a fleet and the stand-in of the platform."""

    def __init__(self, node_count: int, nodes_per_process: int) -> None:
        """Prepare the addresses and settings of the nodes; start nothing."""
        super().__init__()
        self.addresses = _find_free_addresses(node_count)
        self.settings = [self._settings(each) for each in range(node_count)]
        self.nodes_per_process = nodes_per_process
        self.service_count = max(1, node_count // _NODES_PER_SERVICE)
        self.workers: list[asyncio.subprocess.Process] = []
        self._lock = asyncio.Lock()

    def zone_of(self, number: int) -> tuple[str, str]:
        """Return the region and the availability zone of a node."""
        return _ZONES[number % len(_ZONES)]

    def make_document(self, slots: int = 9) -> Mapping[str, Any]:
        """Return a configuration document that declares the services."""
        rank = {
            'name': 'booking',
            'target_latency_ms': 100,
            'worth': 1.0,
            'guaranteed_share': 0.5,
        }
        services = {
            f'service-{number}': {'team': 'hire', 'slots': slots}
            for number in range(self.service_count)
        }
        return {'ranks': [rank], 'services': services}

    async def start_nodes(self) -> None:
        """Start the workers, publish version 1 and wait for all nodes."""
        step = self.nodes_per_process
        for first in range(0, len(self.settings), step):
            path = self.folder / f'worker-{first}.json'
            path.write_text(json.dumps(self.settings[first : first + step]))
            await self._start_worker(str(path))
        await self.wait_until(
            self._first_node_answers, 'the first node answers'
        )
        await self.put_document(self.make_document(), 0)
        times = await self.wait_until_converged(
            1, (), len(self.settings), _READY_TIMEOUT_S
        )
        sys.stdout.write(
            f'{len(self.settings):>5} nodes connected after {times[1]:.1f} s\n'
        )

    async def put_document(
        self, document: Any, base: int, node_number: int = 0
    ) -> Any:
        """Publish a configuration document through a node."""
        body = json.dumps(
            {'base_version': base, 'reason': 'bench', 'document': document},
        )
        return await self.request_control(
            self.addresses[node_number],
            'PUT',
            '/_carobmoor/configuration',
            body.encode(),
        )

    async def send_command(self, **command: Any) -> Sequence[Any]:
        """Send a command to every worker and return the answers."""
        line = f'{json.dumps(command)}\n'.encode()
        async with self._lock:
            return await asyncio.gather(
                *(self._send_to(worker, line) for worker in self.workers),
            )

    async def views(self, targets: Sequence[str] = ()) -> Sequence[Any]:
        """Return the view of every running node, see `bench.fleet_worker`."""
        answers = await self.send_command(do='view', targets=list(targets))
        return [view for views in answers for view in views]

    async def wait_until_converged(
        self,
        version: int,
        targets: Sequence[str],
        reachable: int,
        timeout_s: float,
    ) -> tuple[float, float, int]:
        """Wait until every node has the version and the expected members.

        A node has the expected members when it sees none of `targets`, but
        `reachable` other members, as alive and reachable. Returns the seconds
        until this holds on 99% of the nodes, the seconds until it holds on all
        of them (each infinite if not within `timeout_s`), and the number of
        false deaths in the last view.
        """
        started_s = time.monotonic()
        p99_s = float('inf')
        while True:
            views = await self.views(targets)
            converged = sum(
                _has_converged(view, version, len(targets), reachable)
                for view in views
            )
            elapsed_s = time.monotonic() - started_s
            if converged >= 0.99 * len(views):
                p99_s = min(p99_s, elapsed_s)
            false_deaths = sum(view[2] for view in views)
            if converged == len(views):
                return p99_s, elapsed_s, false_deaths
            if elapsed_s > timeout_s:
                return p99_s, float('inf'), false_deaths
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def measure_cost(
        self, seconds: float, background: Any = None
    ) -> Cost:
        """Measure the fleet for some seconds, while `background` runs."""
        before, store_before = await self._read_totals()
        started_s = time.monotonic()
        if background is not None:
            await background
        await asyncio.sleep(max(0, started_s + seconds - time.monotonic()))
        after, store_after = await self._read_totals()
        elapsed_s = time.monotonic() - started_s
        per_node_second = 1 / elapsed_s / after['nodes']

        def rate(name: str) -> float:
            return (after[name] - before[name]) * per_node_second

        return Cost(
            rate('datagrams'),
            rate('datagram_bytes'),
            rate('calls'),
            rate('call_bytes'),
            rate('cpu_s') * 100,
            after['resident_kb'] / 1024 / after['nodes'],
            (store_after['reads'] - store_before['reads']) / elapsed_s,
            (store_after['writes'] - store_before['writes']) / elapsed_s,
        )

    async def _read_totals(self) -> tuple[dict[str, float], Any]:
        answers = await self.send_command(do='cost')
        totals = {
            name: sum(each[name] for each in answers) for name in answers[0]
        }
        store = await self.request_control(self.platform, 'GET', '/faults')
        return totals, store

    async def _first_node_answers(self) -> bool:
        target = '/_carobmoor/status'
        return (
            await self.request_control(self.addresses[0], 'GET', target)
            is not None
        )

    async def _start_worker(self, path: str) -> None:
        worker = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.fleet_worker',
            path,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=2**24,
        )
        self.processes[path] = worker
        self.workers.append(worker)

    async def _send_to(self, worker: Any, line: bytes) -> Any:
        worker.stdin.write(line)
        await worker.stdin.drain()
        return json.loads(await worker.stdout.readline())

    def _settings(self, number: int) -> Mapping[str, Any]:
        region, zone = self.zone_of(number)
        platform = self.platform._asdict()
        service_count = max(1, len(self.addresses) // _NODES_PER_SERVICE)
        return {
            'listen': self.addresses[number]._asdict(),
            'place': {'region': region, 'availability_zone': zone},
            'service': f'service-{number % service_count}',
            'backend_server': self.platform._asdict(),
            'platform': {'table_service': platform, 'object_store': platform},
            'peers': [str(each) for each in self.addresses[:3]],
            'operators': self.operators(),
            'cluster_key': 'the key of the bench fleet',
        }


def _find_free_addresses(count: int) -> list[Address]:
    """Return addresses with free ports below the ephemeral port range."""
    found: list[Address] = []
    port = _FIRST_PORT
    while len(found) < count:
        port += 1
        if _is_free(port):
            found.append(Address(_IP, port))
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind((_IP, port))
        except OSError:
            return False
    return True


def _has_converged(
    view: Any, version: int, targets: int, reachable: int
) -> bool:
    return view[0] >= version and view[1] == targets and view[3] == reachable
