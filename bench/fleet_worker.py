"""Runs several nodes without data plane in one process, for benchmarks.

`bench.fleet` starts it with a file of the nodes' settings. It reads commands
from standard input, one line of JSON each, and answers each with one such line.
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
from carobmoor.node._control_plane import make_control_plane
from carobmoor.node._lifecycle import create_node, start_control_tasks
from carobmoor.node._server import make_server
from carobmoor.node._state import NodeState
from carobmoor.platform import StoreClient
from carobmoor.telemetry import configure_logs
from carobmoor.transport import Address

_MAX_HEADER_BYTES = 32768
_MAX_LINE_BYTES = 2**24


class HostedNode:
    """A node that runs in this process."""

    def __init__(self, settings: Any) -> None:
        """Assemble the node without starting it."""
        self.node: NodeState = create_node(settings, StoreClient)
        self.cut_off: frozenset[str] = frozenset()
        self._tasks: list[asyncio.Task[Any]] = []
        self._drop_when_cut_off()

    async def start(self) -> None:
        """Serve the control plane and start its tasks."""
        app = make_control_plane(self.node, self.node.gossip.leave)
        await app.start()
        listen = Address(**self.node.settings['listen'])
        server = make_server(app, listen, _MAX_HEADER_BYTES, None)
        self._tasks = [
            asyncio.create_task(server.serve()),
            *start_control_tasks(self.node),
        ]

    async def kill(self) -> None:
        """Stop at once, without notifying other nodes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.node.pools.close()

    async def leave(self) -> None:
        """Announce that this node is leaving, then stop it."""
        self.node.gossip.leave()
        await asyncio.sleep(1)
        self.node.gossip.announce_stop()
        await self.kill()

    def _drop_when_cut_off(self) -> None:
        """Drop what is sent to the addresses in `cut_off`."""
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


def _measure_cost(nodes: Sequence[HostedNode]) -> Mapping[str, float]:
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


def _view_all(nodes: Sequence[HostedNode], targets: Sequence[str]) -> Any:
    """Return what each node sees of the targets and of the other members."""
    target_set = frozenset(targets)
    return [_view_of(each, target_set) for each in nodes]


def _view_of(hosted: HostedNode, targets: frozenset[str]) -> Any:
    """Return a node's version and three counts.

    These are the targets not reachable or not alive, the members other than the
    targets taken for dead, and the reachable live members other than the
    targets.
    """
    node = hosted.node
    state = node.gossip.state
    reachable = {
        address
        for address, member in state.members.items()
        if member.status is MemberStatus.ALIVE and state.is_reachable(member)
    }
    return (
        node.configuration.version,
        len(targets - reachable),
        len(state.dead_since_s.keys() - targets),
        len(reachable - targets),
    )


async def _run_command(nodes: dict[str, HostedNode], command: Any) -> Any:
    living = list(nodes.values())
    match command['do']:
        case 'cost':
            return _measure_cost(living)
        case 'view':
            return _view_all(living, command['targets'])
        case 'cut':
            _cut_off(nodes, command['sides'])
        case _:
            await _stop_nodes(nodes, command)
    return None


def _cut_off(
    nodes: Mapping[str, HostedNode],
    sides: Sequence[Sequence[str]],
) -> None:
    """Make each node drop what it sends to sides other than its own."""
    for address, hosted in nodes.items():
        other_sides = [side for side in sides if address not in side]
        hosted.cut_off = frozenset().union(*other_sides)


async def _stop_nodes(nodes: dict[str, HostedNode], command: Any) -> None:
    for address in nodes.keys() & set(command['targets']):
        hosted = nodes.pop(address)
        stop = hosted.kill if command['do'] == 'kill' else hosted.leave
        await stop()


async def _serve_commands(settings: Sequence[Any]) -> None:
    configure_logs('critical')
    nodes = {}
    for each in settings:
        hosted = HostedNode(each)
        nodes[hosted.node.address] = hosted
        await hosted.start()
    reader = asyncio.StreamReader(limit=_MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        answer = await _run_command(nodes, json.loads(line))
        sys.stdout.write(f'{json.dumps(answer)}\n')
        sys.stdout.flush()


def main(path: str) -> None:
    """Run the nodes whose settings are in a file until the input ends."""
    asyncio.run(_serve_commands(json.loads(Path(path).read_text())))


if __name__ == '__main__':
    fire.Fire(main)
