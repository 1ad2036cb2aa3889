"""The processes of one scenario, with their histories and their relays."""

import asyncio
import json
import signal
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from carobmoor.history import Kind, make_recorder
from carobmoor.transport import Address
from proofs._language import Scenario
from proofs._messages import Bounds, History
from proofs._read import read_histories
from proofs._relay import Mode, Relay
from stand_ins.deployment import Deployment, Pair, Place, free_port

_IP: Final = '127.0.0.1'


class Stage(Deployment):
    """A deployment in which every process writes its history.

    Each node reaches its backend server and the platform through a relay.
    """

    def __init__(self) -> None:
        """Start no process yet."""
        super().__init__()
        self.histories = self.folder / 'histories'
        self.histories.mkdir()
        self.record = make_recorder(self.history_path('runner'), 'runner')
        self.relays: dict[str, Relay] = {}
        self._real: dict[str, Address] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._followers: set[asyncio.Task[None]] = set()

    async def __aexit__(self, *raised: object) -> None:
        """End the relays with the processes."""
        for follower in self._followers:
            follower.cancel()
        for server in self._servers.values():
            server.close()
        for relay in self.relays.values():
            relay.close()
        await super().__aexit__(*raised)

    def history_path(self, name: str) -> str:
        """Give the file in which a process writes its history."""
        return str(self.histories / f'{name.replace(" ", "-")}.jsonl')

    def read_history(self) -> History:
        """Merge what every process has written so far."""
        return read_histories(sorted(Path(self.histories).iterdir()))

    def bounds(self) -> Bounds:
        """Give what the deployment promises."""
        slots = {
            str(pair.backend_server): pair.place.slots for pair in self.pairs
        }
        return Bounds(slots)

    def pair_of(self, process: str) -> Pair:
        """Give the pair to which a process or link belongs."""
        name = process.partition(' ')[2]
        return next(pair for pair in self.pairs if pair.name == name)

    def address_of(self, process: str) -> str:
        """Give the address by which histories name a process.

        Nodes are reachable without the platform: its own name and that of
        a link to it stand for no node.
        """
        if process.startswith('platform'):
            return process
        pair = self.pair_of(process)
        is_backend = process.startswith('backend')
        return str(pair.backend_server if is_backend else pair.node)

    def note(self, kind: Kind, process: str, detail: str) -> None:
        """Write that a process or link fails, or is mended."""
        self.record(kind, subject=self.address_of(process), detail=detail)

    async def start_backend(self, pair: Pair) -> None:
        """Start a backend server behind a relay that has its address."""
        key = f'backend {pair.name}'
        real = self._real.setdefault(key, Address(_IP, free_port()))
        await self.add_relay(key, pair.backend_server, real)
        await self.spawn(
            key,
            'stand_ins.backend_server',
            real,
            f'--name={pair.name}',
            f'--slots={pair.place.slots}',
            f'--service_ms={pair.place.service_ms}',
            f'--history_path={self.history_path(key)}',
            f'--history_name={pair.backend_server}',
        )
        follower = asyncio.create_task(self._follow(key))
        self._followers.add(follower)

    async def start_node(self, pair: Pair) -> None:
        """Start a node whose way to the platform is a relay."""
        key = f'platform {pair.name}'
        if key not in self.relays:
            await self.add_relay(key, self._real[key], self.platform)
        await super().start_node(pair)

    async def add_relay(self, key: str, at: Address, target: Address) -> None:
        """Start a relay."""
        relay = self.relays.setdefault(key, Relay(target))
        self._servers[key] = await relay.listen(at)

    async def restart(self, process: str) -> None:
        """Start a process again and wait until it is ready."""
        pair = self.pair_of(process)
        if process.startswith('backend'):
            await self.start_backend(pair)
        else:
            await self.start_node(pair)
            await self.until_status(pair, 'is_ready', wanted=True)

    def running(self) -> Sequence[Pair]:
        """Give the pairs whose node runs."""
        return [
            pair
            for pair in self.pairs
            if self.processes[f'node {pair.name}'].returncode is None
        ]

    def turn(self, link: str, mode: Mode, amount: int) -> None:
        """Make a link fail, or mend it."""
        self.relays[link].turn(mode, amount)
        kind = Kind.MENDED if mode is Mode.MEND else Kind.FAILED
        self.note(kind, link, f'link {mode.value}')

    def signal(self, process: str, number: signal.Signals) -> None:
        """Signal one of the processes started here, by its own pid."""
        self.processes[process].send_signal(number)

    async def put(self, pair: Pair, document: Any, base: int) -> Any:
        """Publish through one node; `None` when its answer was lost."""
        body = {'base_version': base, 'reason': 'proof', 'document': document}
        return await self.ask(
            pair.node,
            'PUT',
            '/_carobmoor/configuration',
            json.dumps(body).encode(),
        )

    async def read_kept(self) -> Sequence[Any]:
        """Read the record of versions through the nodes; empty if none can."""
        for pair in self.running():
            target = '/_carobmoor/configuration/history'
            told = await self.ask(pair.node, 'GET', target)
            if isinstance(told, list):
                return told
        return ()

    async def read_version(self, known: int) -> int:
        """Give the highest accepted version, or the one known."""
        kept = await self.read_kept()
        return max([known, *(head['version'] for head in kept)])

    async def write_kept(self) -> None:
        """Write down which versions the store has at the end."""
        for head in await self.read_kept():
            self.record(
                Kind.KEPT,
                version=head['version'],
                digest=head['digest'],
            )

    async def all_have(self, version: int) -> bool:
        """Tell whether every node that runs has a version in force."""
        told = [
            await self.ask(pair.node, 'GET', '/_carobmoor/status')
            for pair in self.running()
        ]
        return all(
            status is None
            or status.get('configuration_version', version) >= version
            for status in told
        )

    async def _follow(self, key: str) -> None:
        """Refuse connections as soon as the process behind a relay is gone."""
        await self.processes[key].wait()
        self._servers[key].close()

    def _settings_of(self, pair: Pair) -> Mapping[str, Any]:
        key = f'platform {pair.name}'
        near = self._real.setdefault(key, Address(_IP, free_port()))._asdict()
        return {
            **super()._settings_of(pair),
            'platform': {'table_service': near, 'object_store': near},
            'history_path': self.history_path(f'node {pair.name}'),
            'leave_linger_ms': 1000,
        }


def places_of(scenario: Scenario) -> Iterator[Place]:
    """Give the places of a scenario, zones taken in turn."""
    for lines in scenario['places']:
        region = lines.get('region', 'lagos')
        for index in range(lines.get('count', 1)):
            zone = f'{region}-{"ab"[index % 2]}'
            yield Place(
                lines['service'],
                region,
                zone,
                lines.get('slots', 4),
                lines.get('service_ms', 5),
            )
