"""Publishes the load of the node's own backend server in its region."""

import asyncio
from typing import Final

from carobmoor.mesh._gossip import GossipProtocol
from carobmoor.mesh._slowdown import SlowdownMonitor
from carobmoor.mesh._state import MeshNode

_INTERVAL_S: Final = 0.1


async def publish_load(
    node: MeshNode, slowdown_monitor: SlowdownMonitor, gossip: GossipProtocol
) -> None:
    """Poll the slowdown; publish the load when it changed, until cancelled.

    A server that does not report its slowdown is asked once per announced
    instance.
    """
    asked_instance = ''
    published_percent = 0
    while True:
        await asyncio.sleep(_INTERVAL_S)
        backend = node.backend
        is_new = asked_instance != backend.instance_id
        if not backend.is_ready or not (backend.reports_slowdown or is_new):
            continue
        await slowdown_monitor.refresh(_INTERVAL_S)
        if node.table is not None:
            asked_instance = backend.instance_id
        if backend.slowdown_percent != published_percent:
            published_percent = backend.slowdown_percent
            gossip.send_load()
