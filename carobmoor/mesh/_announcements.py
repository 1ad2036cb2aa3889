"""Handlers of backend server announcements and of readiness checks."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from result import Err, Result

from carobmoor.mesh._datagrams import is_plausible_id, is_plausible_start
from carobmoor.mesh._gossip import GossipProtocol
from carobmoor.mesh._messages import (
    Announcement,
    MeshSettings,
    ServerStatus,
)
from carobmoor.mesh._own_row import OwnRow
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest, ServingLimits

_OK: Final = 200
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503
# How long an acknowledgement waits for the write to the store.
_SAVE_TIMEOUT_S: Final = 0.5
# Larger numbers are of another writer; they would outdate all that follow.
_MAX_SEQUENCE: Final = 2_147_483_647
_MAX_SLOTS: Final = 1_000_000
_MAX_BODY_BYTES: Final = 65_536
ANNOUNCEMENT_LIMITS: Final = ServingLimits(max_body_bytes=_MAX_BODY_BYTES)
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
        if not _is_plausible(announcement):
            _log.warning(
                'Announcement implausible, rejected.',
                peer=request.peer,
                instance=announcement.instance_id,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                slots=announcement.slots,
            )
            request.respond(_BAD_REQUEST)
            return
        foreign = _foreign_field(self._node.settings, announcement)
        if foreign:
            metrics = self._node.metrics.cluster
            metrics.foreign_announcements.labels(foreign).inc()
            _log.warning(
                'Announcement of another writer, rejected.',
                peer=request.peer,
                instance=announcement.instance_id,
                differs_in=foreign,
                service=announcement.service,
                address=str(announcement.address),
                zone=announcement.availability_zone,
            )
            request.respond(_BAD_REQUEST)
            return
        node = self._node
        is_changed = node.backend.apply_announcement(announcement)
        if node.backend.last_announcement is announcement:
            node.update_admission()
            node.cold_starts.record_announcement(
                announcement.warm_up_ms, time.monotonic()
            )
        if is_changed:
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


def _foreign_field(settings: MeshSettings, announcement: Announcement) -> str:
    """Return the field that shows that another server is announced, if any.

    The settings name the server beside this node, so that one of another
    service, address or availability zone never takes its place.
    """
    if announcement.status is ServerStatus.GONE:
        # Names only the instance, which `Backend` compares.
        return ''
    own = {
        'service': settings.service,
        'address': settings.backend_server,
        'zone': settings.availability_zone,
    }
    announced = {
        'service': announcement.service,
        'address': announcement.address,
        'zone': announcement.availability_zone,
    }
    for name, known in own.items():
        if announced[name] and announced[name] != known:
            return name
    return ''


def _is_plausible(announcement: Announcement) -> bool:
    return (
        is_plausible_id(announcement.instance_id)
        and is_plausible_start(announcement.born_ms)
        and announcement.sequence <= _MAX_SEQUENCE
        and announcement.slots <= _MAX_SLOTS
    )


async def serve_readiness(node: MeshNode, request: IncomingRequest) -> None:
    """Answer 200 if the platform should send callers here, else 503."""
    request.respond(_OK if node.is_ready else _UNAVAILABLE)
