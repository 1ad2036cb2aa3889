"""Lifecycle of a node: start, join, serve requests, leave."""

import asyncio
import gc
import random
import signal
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

from carobmoor.client import (
    Dispatcher,
    probe_candidates_periodically,
    set_service_members,
)
from carobmoor.history import EventKind
from carobmoor.idempotency import delete_old_claims_periodically
from carobmoor.membership import (
    Gossip,
    Member,
    MembershipState,
    MemberStatus,
    join,
    maintain_seed_rows,
)
from carobmoor.node._control_plane import make_control_plane
from carobmoor.node._data_plane import make_data_plane
from carobmoor.node._pools import make_pools
from carobmoor.node._server import make_server
from carobmoor.node._settings import Settings
from carobmoor.node._shutdown import NodeShutdown, leave_when_requested
from carobmoor.node._state import NodeState
from carobmoor.routing import RoutingState
from carobmoor.store import Store
from carobmoor.telemetry import configure_logs, logger_for
from carobmoor.tls import reload_periodically
from carobmoor.transport import (
    Address,
    ConnectionPool,
    monitor_pauses,
    parse_address,
)

_CONTROL_PREFIX: Final = '/_carobmoor/'
_DEFAULT_MAX_HEADER_BYTES: Final = 32768
_MS_PER_S: Final = 1000
_GC_THRESHOLDS: Final = (50_000, 50, 50)
_log = logger_for('node')

# Opens a store client at the addresses of the table service and object store.
OpenStore = Callable[[ConnectionPool, Address, Address], Store]


async def run_node(settings: Settings, open_store: OpenStore) -> None:
    """Run a node until a stop is requested and it has left gracefully."""
    configure_logs(settings.get('log_level', 'info'))
    node = create_node(settings, open_store)
    shutdown = NodeShutdown(node)
    server = make_server(
        _make_application(node, shutdown),
        Address(**settings['listen']),
        settings.get('most_header_bytes', _DEFAULT_MAX_HEADER_BYTES),
        node.pools.listener,
        node.pools.account,
    )
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown.request_stop)
    _tune_garbage_collector()
    _log.info('Node starts.', address=node.address, service=node.service)
    await _serve(node, server, shutdown)
    node.record_event(EventKind.STOPPED, subject=str(node.backend_server))
    _log.info('Node stopped.', address=node.address)


async def _serve(node: NodeState, server: Any, shutdown: NodeShutdown) -> None:
    background = [
        *start_control_tasks(node),
        asyncio.create_task(node.gate.expire_in_time()),
        asyncio.create_task(node.quarantine.mark_exchange.run()),
        asyncio.create_task(
            probe_candidates_periodically(
                node.dispatcher.routing,
                node.pools.nodes,
                node.record_event,
            ),
        ),
        asyncio.create_task(
            monitor_pauses(node.pauses, node.gate.record_pause),
        ),
        asyncio.create_task(
            delete_old_claims_periodically(node.store, random.Random())
        ),
    ]
    if node.pools.certificate is not None:
        certificate_watch = reload_periodically(node.pools.certificate)
        background.append(asyncio.create_task(certificate_watch))
    serving = asyncio.create_task(server.serve())
    leaving = asyncio.create_task(leave_when_requested(shutdown, server))
    await asyncio.wait(
        (serving, leaving),
        return_when=asyncio.FIRST_COMPLETED,
    )
    server.should_exit = True
    await serving
    for task in (*background, leaving):
        task.cancel()
    await asyncio.gather(*background, leaving, return_exceptions=True)
    node.pools.close()


def start_control_tasks(node: NodeState) -> Sequence[asyncio.Task[None]]:
    """Start the tasks that track other nodes and the configuration."""
    rng = random.Random()
    coroutines = (
        _follow_configuration(node),
        _join_cluster(node),
        maintain_seed_rows(node.gossip, node.store, rng),
        node.gossip.run(),
    )
    return [asyncio.create_task(coroutine) for coroutine in coroutines]


async def _follow_configuration(node: NodeState) -> None:
    """Follow the configuration after the first attempt to join other nodes."""
    await node.gossip.has_tried_to_join.wait()
    await node.configuration.run()


async def _join_cluster(node: NodeState) -> None:
    """Join other nodes through the configured peers and the table service."""
    peers = [parse_address(peer) for peer in node.settings.get('peers', ())]
    await join(node.gossip, node.store, peers, random.Random())


def create_node(settings: Settings, open_store: OpenStore) -> NodeState:
    """Create the parts of a node without starting any task."""
    pools = make_pools(settings)
    place = settings['place']
    store = open_store(
        pools.platform,
        Address(**settings['platform']['table_service']),
        Address(**settings['platform']['object_store']),
    )
    routing = RoutingState(place['region'], place['availability_zone'])
    rng = random.Random()
    gossip = Gossip(
        _create_membership(settings, routing),
        pools.nodes,
        rng,
        settings.get('cluster_key', '').encode(),
    )
    dispatcher = Dispatcher(routing, pools.nodes, rng)
    return NodeState(settings, pools, store, dispatcher, gossip)


def _create_membership(
    settings: Settings,
    routing: RoutingState,
) -> MembershipState:
    place = settings['place']
    own_member = Member(
        str(Address(**settings['listen'])),
        settings['service'],
        place['region'],
        place['availability_zone'],
        int(time.time() * _MS_PER_S),
        MemberStatus.ALIVE,
    )

    def on_change(service: str) -> None:
        # `MembershipState()` reports its own entry before `state` is bound.
        if state is not None:
            reachable = filter(state.is_reachable, state.of_service(service))
            set_service_members(routing, service, tuple(reachable))

    state: MembershipState | None = None
    state = MembershipState(own_member, on_change)
    on_change(own_member.service)
    return state


def _make_application(node: NodeState, shutdown: NodeShutdown) -> Any:
    data_plane = make_data_plane(node, shutdown)
    control_plane = make_control_plane(node, shutdown)

    async def application(scope: Any, receive: Any, send: Any) -> None:
        if scope['path'].startswith(_CONTROL_PREFIX):
            if not control_plane.started:
                await control_plane.start()
            await control_plane(scope, receive, send)
        else:
            await data_plane(scope, receive, send)

    return application


def _tune_garbage_collector() -> None:
    """Reduce request pauses caused by collection of long-lived objects."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
