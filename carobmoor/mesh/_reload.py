"""Reloading of settings that change while the node runs."""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Result

from carobmoor.mesh._messages import MeshSettings
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for

# Settings may change without a signal.
_INTERVAL_S: Final = 2
_log = logger_for('settings')


async def follow_settings(
    node: MeshNode,
    reload: Callable[[], Result[MeshSettings, str]],
    reloading: asyncio.Event,
) -> None:
    """Read the settings on request and at intervals, until cancelled."""
    while True:
        is_requested = await _wait(reloading)
        reloading.clear()
        read = reload()
        if isinstance(read, Err):
            _log.warning(
                'Settings unreadable; the previous ones are kept.',
                fault=read.err_value,
            )
            continue
        if is_requested or read.ok_value != node.settings:
            apply_settings(node, read.ok_value)


def apply_settings(node: MeshNode, loaded: MeshSettings) -> None:
    """Apply the settings that can change while the node runs.

    The addresses of this node, of its backend server and of the store stay
    unchanged until the next start.
    """
    current = node.settings
    changed = [
        name
        for name in current._fields
        if getattr(current, name) != getattr(loaded, name)
    ]
    node.settings = loaded._replace(
        ip=current.ip,
        backend_server=current.backend_server,
        caller_address=current.caller_address,
        node_address=current.node_address,
        readiness_address=current.readiness_address,
        announce_address=current.announce_address,
        news_port=current.news_port,
        store_address=current.store_address,
        metrics_address=current.metrics_address,
    )
    _log.info('Settings applied.', changed=changed)


async def _wait(reloading: asyncio.Event) -> bool:
    try:
        async with asyncio.timeout(_INTERVAL_S):
            return await reloading.wait()
    except TimeoutError:
        return False
