"""Runs several nodes without data plane in one process, for the benches.

Run by `bench.fleet` with the nodes' settings in a file; it reads commands as
JSON lines and answers each with one line.
"""

import asyncio
import json
import resource
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import fire

from carobmoor.membership import MemberStatus
from carobmoor.node._control import make_control_plane
from carobmoor.node._daemon import assemble, start_control
from carobmoor.node._server import make_server
from carobmoor.node._state import NodeState
from carobmoor.platform import StoreClient
from carobmoor.telemetry import configure_logs
from carobmoor.transport import Address

_HEADER_BYTES = 32768
_LINE_BYTES = 2**24


class HostedNode:
    """One node of this process."""

    def __init__(self, settings: Any) -> None:
        """Assemble the node; nothing runs yet."""
        self.node: NodeState = assemble(settings, StoreClient)
        self.cut_off: frozenset[str] = frozenset()
        self._tasks: list[asyncio.Task[Any]] = []
        self._intercept()

    async def start(self) -> None:
        """Serve the control paths and start the control tasks."""
        app = make_control_plane(self.node, self.node.gossip.leave)
        await app.start()
        listen = Address(**self.node.settings['listen'])
        server = make_server(app, listen, _HEADER_BYTES, None)
        self._tasks = [
            asyncio.create_task(server.serve()),
            *start_control(self.node),
        ]

    async def kill(self) -> None:
        """Stop at once, without a word to anybody."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.node.pools.close()

    async def leave(self) -> None:
        """Tell that this node leaves, and stop."""
        self.node.gossip.leave()
        await asyncio.sleep(1)
        self.node.gossip.announce_stop()
        await self.kill()

    def _intercept(self) -> None:
        """Lose what goes to the addresses that are cut off."""
        gossip = self.node.gossip
        send, post = gossip.socket.send, gossip.peers.post

        def send_unless_cut(address: str, datagram: Any) -> None:
            if address not in self.cut_off:
                send(address, datagram)

        async def post_unless_cut(address: Any, *rest: Any) -> bytes | None:
            if str(address) in self.cut_off:
                return None
            return await post(address, *rest)

        gossip.socket.send = send_unless_cut  # type: ignore[method-assign]
        gossip.peers.post = post_unless_cut  # type: ignore[method-assign]


def _cost(nodes: Sequence[HostedNode]) -> Mapping[str, float]:
    gossips = [each.node.gossip for each in nodes]
    sockets = [gossip.socket.traffic for gossip in gossips]
    peers = [gossip.peers for gossip in gossips]
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        'nodes': len(nodes),
        'datagrams': sum(each.sent for each in sockets),
        'datagram_bytes': sum(each.sent_bytes for each in sockets),
        'calls': sum(each.calls for each in peers),
        'call_bytes': sum(each.transferred_bytes for each in peers),
        'cpu_s': time.process_time(),
        'resident_kb': usage.ru_maxrss,
    }


def _view(nodes: Sequence[HostedNode], targets: Sequence[str]) -> Any:
    """Tell of each node what it sees of the targets and of the others."""
    wanted = frozenset(targets)
    return [_view_of(each, wanted) for each in nodes]


def _view_of(hosted: HostedNode, wanted: frozenset[str]) -> Any:
    node = hosted.node
    state = node.gossip.state
    candidates = {
        address
        for address, member in state.members.items()
        if member.status is MemberStatus.ALIVE and state.is_reachable(member)
    }
    return (
        node.configuration.version,
        len(wanted - candidates),
        len(state.dead_since_s.keys() - wanted),
        len(candidates - wanted),
    )


async def _obey(nodes: dict[str, HostedNode], command: Any) -> Any:
    living = list(nodes.values())
    match command['do']:
        case 'cost':
            return _cost(living)
        case 'view':
            return _view(living, command['targets'])
        case 'cut':
            _cut(nodes, command['sides'])
        case _:
            await _stop(nodes, command)
    return None


def _cut(
    nodes: Mapping[str, HostedNode],
    sides: Sequence[Sequence[str]],
) -> None:
    """Let each node lose what it sends to sides other than its own."""
    for address, hosted in nodes.items():
        lost = [side for side in sides if address not in side]
        hosted.cut_off = frozenset().union(*lost)


async def _stop(nodes: dict[str, HostedNode], command: Any) -> None:
    for address in nodes.keys() & set(command['targets']):
        hosted = nodes.pop(address)
        stop = hosted.kill if command['do'] == 'kill' else hosted.leave
        await stop()


async def _run(settings: Sequence[Any]) -> None:
    configure_logs('critical')
    nodes = {}
    for each in settings:
        hosted = HostedNode(each)
        nodes[hosted.node.here] = hosted
        await hosted.start()
    reader = asyncio.StreamReader(limit=_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        told = await _obey(nodes, json.loads(line))
        sys.stdout.write(f'{json.dumps(told)}\n')
        sys.stdout.flush()


def main(path: str) -> None:
    """Run the nodes of a file until the input ends."""
    asyncio.run(_run(json.loads(Path(path).read_text())))


if __name__ == '__main__':
    fire.Fire(main)
