"""Keeping the load of the own backend server known in its region."""

import asyncio
from typing import Final

from carobmoor.mesh._news import NewsDesk
from carobmoor.mesh._pace import PaceWatch
from carobmoor.mesh._state import MeshNode

_INTERVAL_S: Final = 0.1


async def measure(node: MeshNode, pace: PaceWatch, desk: NewsDesk) -> None:
    """Ask at intervals and tell changes at once, until cancelled.

    A server that tells no pace is asked once, after its announcement.
    """
    asked = ''
    told_percent = 0
    while True:
        await asyncio.sleep(_INTERVAL_S)
        backend = node.backend
        is_new = asked != backend.instance_id
        if not backend.is_ready or not (backend.tells_pace or is_new):
            continue
        await pace.refresh(_INTERVAL_S)
        if node.table is not None:
            asked = backend.instance_id
        if backend.pace_percent != told_percent:
            told_percent = backend.pace_percent
            desk.tell_load()
