"""Follows the slowdown of the node's own backend server."""

import asyncio
from typing import Final

from carobmoor.mesh._state import MeshNode

_INTERVAL_S: Final = 0.1


async def follow_slowdown(node: MeshNode) -> None:
    """Ask for the slowdown at intervals, until cancelled.

    The baseline slowdown and the length of slow periods need regular samples.
    A server that does not report its slowdown is asked once per announced
    instance.
    """
    asked_instance = ''
    while True:
        await asyncio.sleep(_INTERVAL_S)
        backend = node.backend
        is_new = asked_instance != backend.instance_id
        if not backend.is_ready or not (backend.reports_slowdown or is_new):
            continue
        await node.slowdown_monitor.refresh(_INTERVAL_S)
        if node.table is not None:
            asked_instance = backend.instance_id
