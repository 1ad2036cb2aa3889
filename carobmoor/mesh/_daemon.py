"""Life cycle of a mesh node: start, serve, stop."""

import asyncio
import functools
import gc
import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from result import Result

from carobmoor.mesh._follow_slowdown import follow_slowdown
from carobmoor.mesh._leave import leave_mesh_node
from carobmoor.mesh._messages import MeshSettings
from carobmoor.mesh._parts import MeshParts
from carobmoor.mesh._reload import follow_settings
from carobmoor.telemetry import logger_for
from carobmoor.transport import monitor_pauses

_COLLECTOR_THRESHOLDS: Final = (50_000, 50, 50)
_log = logger_for('node')


async def run_mesh_node(
    parts: MeshParts,
    reload: Callable[[], Result[MeshSettings, str]],
) -> None:
    """Run a node until it gets a stop signal and has left gracefully.

    `reload` reads the settings again, on SIGHUP and at intervals.
    """
    stopping = asyncio.Event()
    reloading = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reloading.set)
    tasks = await start_mesh_node(parts)
    tasks.append(
        asyncio.create_task(follow_settings(parts.node, reload, reloading)),
    )
    _tune_garbage_collector()
    await stopping.wait()
    await leave_mesh_node(parts)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    _log.info('Node stopped.', node=parts.node.settings.name)


async def start_mesh_node(parts: MeshParts) -> list[asyncio.Task[None]]:
    """Open the sockets and start the tasks of a node."""
    node = parts.node
    settings = node.settings
    own_peer = node.peers.add_or_update(node.record(), settings.region)
    own_peer.is_self = True
    own_peer.round_trip_ms = 0
    await parts.gossip.open()
    await parts.announcements.listen(settings.announce_address)
    await parts.nodes.listen(settings.node_address)
    await parts.callers.listen(settings.caller_address)
    await parts.readiness.listen(settings.readiness_address)
    await parts.metrics.listen(settings.metrics_address)
    _log.info('Node starts.', node=settings.name, service=settings.service)
    return _start_tasks(parts)


def _start_tasks(parts: MeshParts) -> list[asyncio.Task[None]]:
    node = parts.node
    runs: Mapping[str, Callable[[], Awaitable[None]]] = {
        'follow_routes': parts.follower.run,
        'freshness': parts.freshness_keeper.run,
        'own_row': parts.own_row.run,
        'gossip': parts.gossip.run,
        'slowdown': functools.partial(follow_slowdown, node),
        'admission': node.gate.expire_in_time,
        'marks': node.quarantine.mark_exchange.run,
        'pauses': functools.partial(monitor_pauses, node.pauses),
    }
    return [
        asyncio.create_task(keep_running(name, run))
        for name, run in runs.items()
    ]


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], restart_s: float = 0.5
) -> None:
    """Run a background task; start it again after an unexpected error.

    Without this, the error would end the task unnoticed while the node goes
    on.
    """
    while True:
        try:
            await run()
        except Exception:
            _log.exception('Background task failed; restarting.', task=name)
        else:
            return
        await asyncio.sleep(restart_s)


def _tune_garbage_collector() -> None:
    """Reduce request pauses from collections of long-lived objects."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECTOR_THRESHOLDS)
