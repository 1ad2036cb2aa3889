"""Handlers of backend server announcements and of readiness checks."""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Result

from carobmoor.mesh._gossip import GossipProtocol
from carobmoor.mesh._messages import Announcement, ServerStatus
from carobmoor.mesh._own_row import OwnRow
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest

_OK: Final = 200
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503
# How long an acknowledgement waits for the write to the store.
_SAVE_TIMEOUT_S: Final = 0.5
_JSON: Final = ((b'content-type', b'application/json'),)
_log = logger_for('announce')

DecodeAnnouncement = Callable[[str, bytes], Result[Announcement, str]]


class AnnouncementHandler:
    """Handles the announcements of the backend server."""

    def __init__(
        self,
        node: MeshNode,
        gossip: GossipProtocol,
        own_row: OwnRow,
        decode_announcement: DecodeAnnouncement,
    ) -> None:
        """Decode and handle announcements; report changes to other nodes."""
        self._node = node
        self._gossip = gossip
        self._own_row = own_row
        self._decode_announcement = decode_announcement

    async def serve(self, request: IncomingRequest) -> None:
        """Apply an announcement and acknowledge it; 400 if it is unreadable."""
        body = b''.join([chunk async for chunk in request.chunks()])
        decoded = self._decode_announcement(
            request.target.decode('latin-1'), body
        )
        if isinstance(decoded, Err):
            _log.warning(
                'Announcement unreadable, rejected.',
                peer=request.peer,
                fault=decoded.err_value,
            )
            request.respond(_BAD_REQUEST)
            return
        announcement = decoded.ok_value
        if self._node.backend.apply_announcement(announcement):
            await self._apply_change(announcement)
        request.respond(_OK, _JSON, b'{}')

    async def _apply_change(self, announcement: Announcement) -> None:
        _log.info(
            'Backend server announced a change.',
            instance=announcement.instance_id,
            standing=announcement.status.value,
            sequence=announcement.sequence,
            service=announcement.service,
            slots=announcement.slots,
        )
        node = self._node
        is_leaving = announcement.status is not ServerStatus.READY
        if is_leaving:
            node.gate.refuse_waiting()
        node.update_admission()
        self._gossip.notify_change()
        if is_leaving:
            await self._save_leaving()

    async def _save_leaving(self) -> None:
        """Store that the server leaves, for the next start of this node.

        The acknowledgement waits no longer than the time limit, since this
        node itself refuses requests from now on.
        """
        try:
            async with asyncio.timeout(_SAVE_TIMEOUT_S):
                await self._own_row.save()
        except TimeoutError:
            _log.warning(
                'Storing that the server leaves timed out; it is retried.'
            )


async def serve_readiness(node: MeshNode, request: IncomingRequest) -> None:
    """Answer 200 if the platform should send callers here, else 503."""
    request.respond(_OK if node.is_ready else _UNAVAILABLE)
