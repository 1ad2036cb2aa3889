"""Follows the slowdown of the node's own backend server."""

import asyncio
import time
from typing import Final

from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for

_log = logger_for('cold')
_INTERVAL_S: Final = 0.1
# A server that does not report its slowdown may use a slot for the answer.
_COLD_INTERVAL_S: Final = 0.4


async def follow_slowdown(node: MeshNode) -> None:
    """Ask for the slowdown at intervals, until cancelled.

    The baseline slowdown and the length of slow periods need regular samples.
    A server that does not report its slowdown is asked once per announced
    instance. One that may be cold is asked whether it is, also while its other
    answers report the slowdown.
    """
    asked_instance = ''
    was_limited = False
    while True:
        await asyncio.sleep(_INTERVAL_S)
        if node.backend.is_ready:
            asked_instance = await _ask(node, asked_instance)
        was_limited = _log_limit(node, was_limited)


async def _ask(node: MeshNode, asked_instance: str) -> str:
    """Ask what is due; return the instance that was last asked."""
    backend = node.backend
    instance_id = backend.instance_id
    is_reporting = backend.reports_slowdown
    await refresh_cold_time(
        node, _INTERVAL_S if is_reporting else _COLD_INTERVAL_S
    )
    if is_reporting or asked_instance != instance_id:
        await node.slowdown_monitor.refresh(_INTERVAL_S)
    return asked_instance if node.table is None else instance_id


def _log_limit(node: MeshNode, was_limited: bool) -> bool:
    """Log a change of whether starts are limited; return whether they are."""
    now_s = time.monotonic()
    cold_starts = node.cold_starts
    is_limited = cold_starts.is_limited(now_s)
    if is_limited != was_limited:
        _log.info(
            'Limit on starts of the backend server began or ended.',
            instance=node.backend.instance_id,
            limited=is_limited,
            reported_cold=cold_starts.is_cold(now_s),
        )
    return is_limited


async def refresh_cold_time(node: MeshNode, fresh_s: float) -> None:
    """Ask whether the server is cold, unless it was asked that lately.

    Only for a server of which too few requests may start while it is cold.
    """
    cold_starts = node.cold_starts
    age_s = time.monotonic() - node.slowdown_monitor.asked_at_s
    if cold_starts.has_limit and age_s > fresh_s:
        await node.slowdown_monitor.ask()
