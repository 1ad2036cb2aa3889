"""The processes of one scenario, their histories and relays."""

import asyncio
import json
import signal
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from carobmoor.history import EventKind, make_recorder
from carobmoor.transport import Address
from proofs._histories import read_histories
from proofs._relay import Mode, Relay
from proofs._scenario import Scenario
from proofs._types import Bounds, History
from stand_ins.deployment import Deployment, Place, ServerPair, free_port

_IP: Final = '127.0.0.1'


class ScenarioDeployment(Deployment):
    """A deployment in which every process records its history.

    Each node reaches its backend server and the platform through a relay.
    """

    def __init__(self) -> None:
        """Create the folder for the histories; starts no process."""
        super().__init__()
        self.history_folder = self.folder / 'histories'
        self.history_folder.mkdir()
        self.record = make_recorder(self.history_path('runner'), 'runner')
        self.relays: dict[str, Relay] = {}
        self._allocated_addresses: dict[str, Address] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._exit_watchers: set[asyncio.Task[None]] = set()

    async def __aexit__(self, *raised: object) -> None:
        """Close the relays and end the processes."""
        for exit_watcher in self._exit_watchers:
            exit_watcher.cancel()
        for server in self._servers.values():
            server.close()
        for relay in self.relays.values():
            relay.close()
        await super().__aexit__(*raised)

    def history_path(self, name: str) -> str:
        """Return the path of the history file of a process."""
        return str(self.history_folder / f'{name.replace(" ", "-")}.jsonl')

    def read_history(self) -> History:
        """Return the merged history that all processes have written so far."""
        return read_histories(sorted(Path(self.history_folder).iterdir()))

    def bounds(self) -> Bounds:
        """Return the limits to check the history against."""
        slots = {
            str(pair.backend_server): pair.place.slots for pair in self.pairs
        }
        return Bounds(slots)

    def pair_of(self, process: str) -> ServerPair:
        """Return the pair to which a process or link belongs."""
        name = process.partition(' ')[2]
        return next(pair for pair in self.pairs if pair.name == name)

    def address_of(self, process: str) -> str:
        """Return the address by which histories name a process.

        The platform and the links to it keep their names: a node is
        reachable without the platform, so its failure is not the node's.
        """
        if process.startswith('platform'):
            return process
        pair = self.pair_of(process)
        is_backend = process.startswith('backend')
        return str(pair.backend_server if is_backend else pair.node)

    def record_fault(self, kind: EventKind, process: str, detail: str) -> None:
        """Record that a process or link fails, or is mended."""
        self.record(kind, subject=self.address_of(process), detail=detail)

    async def start_backend(self, pair: ServerPair) -> None:
        """Start a backend server behind a relay that listens at its address."""
        key = f'backend {pair.name}'
        target = self._allocated_addresses.setdefault(
            key, Address(_IP, free_port())
        )
        await self.add_relay(key, pair.backend_server, target)
        await self.spawn(
            key,
            'stand_ins.backend_server',
            target,
            f'--name={pair.name}',
            f'--slots={pair.place.slots}',
            f'--service_ms={pair.place.service_ms}',
            f'--history_path={self.history_path(key)}',
            f'--history_name={pair.backend_server}',
        )
        exit_watcher = asyncio.create_task(self._close_on_exit(key))
        self._exit_watchers.add(exit_watcher)

    async def start_node(self, pair: ServerPair) -> None:
        """Start a node that reaches the platform through a relay."""
        key = f'platform {pair.name}'
        if key not in self.relays:
            await self.add_relay(
                key, self._allocated_addresses[key], self.platform
            )
        await super().start_node(pair)

    async def add_relay(self, key: str, at: Address, target: Address) -> None:
        """Start to relay connections at an address to a target."""
        relay = self.relays.setdefault(key, Relay(target))
        self._servers[key] = await relay.listen(at)

    async def restart(self, process: str) -> None:
        """Start an ended process again; waits until a node is ready."""
        pair = self.pair_of(process)
        if process.startswith('backend'):
            await self.start_backend(pair)
        else:
            await self.start_node(pair)
            await self.wait_for_status(pair, 'is_ready', wanted=True)

    def running_pairs(self) -> Sequence[ServerPair]:
        """Return the pairs whose node runs."""
        return [
            pair
            for pair in self.pairs
            if self.processes[f'node {pair.name}'].returncode is None
        ]

    def set_link_mode(self, link: str, mode: Mode, amount: int) -> None:
        """Inject a fault into a link, or mend it, and record that."""
        self.relays[link].switch_mode(mode, amount)
        kind = EventKind.MENDED if mode is Mode.MEND else EventKind.FAILED
        self.record_fault(kind, link, f'link {mode.value}')

    def send_signal(self, process: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here, by its pid."""
        self.processes[process].send_signal(number)

    async def try_publish(
        self, pair: ServerPair, document: Any, base: int
    ) -> Any:
        """Publish through one node; returns `None` if its answer was lost."""
        body = {'base_version': base, 'reason': 'proof', 'document': document}
        return await self.request_control(
            pair.node,
            'PUT',
            '/_carobmoor/configuration',
            json.dumps(body).encode(),
        )

    async def read_version_history(self) -> Sequence[Any]:
        """Return the store's version history, read through any running node.

        Empty if no node could read it.
        """
        for pair in self.running_pairs():
            target = '/_carobmoor/configuration/history'
            versions = await self.request_control(pair.node, 'GET', target)
            if isinstance(versions, list):
                return versions
        return ()

    async def read_version(self, known: int) -> int:
        """Return the highest accepted version, at least the known one."""
        versions = await self.read_version_history()
        return max([known, *(head['version'] for head in versions)])

    async def record_kept_versions(self) -> None:
        """Record which versions the store has."""
        for head in await self.read_version_history():
            self.record(
                EventKind.KEPT,
                version=head['version'],
                digest=head['digest'],
            )

    async def all_have_version(self, version: int) -> bool:
        """Return whether every running node has a version in force.

        Nodes that don't answer are ignored.
        """
        statuses = [
            await self.request_control(pair.node, 'GET', '/_carobmoor/status')
            for pair in self.running_pairs()
        ]
        return all(
            status is None
            or status.get('configuration_version', version) >= version
            for status in statuses
        )

    async def _close_on_exit(self, key: str) -> None:
        """Stop accepting connections once the process behind a relay ends."""
        await self.processes[key].wait()
        self._servers[key].close()

    def _settings_of(self, pair: ServerPair) -> Mapping[str, Any]:
        key = f'platform {pair.name}'
        relay_address = self._allocated_addresses.setdefault(
            key, Address(_IP, free_port())
        )._asdict()
        return {
            **super()._settings_of(pair),
            'platform': {
                'table_service': relay_address,
                'object_store': relay_address,
            },
            'history_path': self.history_path(f'node {pair.name}'),
            'leave_linger_ms': 1000,
        }


def places_of(scenario: Scenario) -> Iterator[Place]:
    """Yield the places of a scenario; each region alternates two zones."""
    for spec in scenario['places']:
        region = spec.get('region', 'lagos')
        for index in range(spec.get('count', 1)):
            zone = f'{region}-{"ab"[index % 2]}'
            yield Place(
                spec['service'],
                region,
                zone,
                spec.get('slots', 4),
                spec.get('service_ms', 5),
            )
