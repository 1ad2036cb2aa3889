"""Handlers of backend server announcements and of readiness checks."""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Result

from carobmoor.mesh._members import Membership
from carobmoor.mesh._messages import Announcement, Standing
from carobmoor.mesh._news import NewsDesk
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest

_OK: Final = 200
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503
# How long an acknowledgement waits for the write to the store.
_KEEP_S: Final = 0.5
_JSON: Final = ((b'content-type', b'application/json'),)
_log = logger_for('announce')

Read = Callable[[str, bytes], Result[Announcement, str]]


class AnnouncementDesk:
    """Handles the announcements of the backend server."""

    def __init__(
        self,
        node: MeshNode,
        desk: NewsDesk,
        members: Membership,
        read: Read,
    ) -> None:
        """Decode announcements with `read`; report changes to other nodes."""
        self._node = node
        self._desk = desk
        self._members = members
        self._read = read

    async def serve(self, request: IncomingRequest) -> None:
        """Apply an announcement and acknowledge it; 400 if it is unreadable."""
        body = b''.join([chunk async for chunk in request.chunks()])
        heard = self._read(request.target.decode('latin-1'), body)
        if isinstance(heard, Err):
            _log.warning(
                'Announcement unreadable, rejected.',
                peer=request.peer,
                fault=heard.err_value,
            )
            request.respond(_BAD_REQUEST)
            return
        announcement = heard.ok_value
        if self._node.backend.announce(announcement):
            await self._note(announcement)
        request.respond(_OK, _JSON, b'{}')

    async def _note(self, heard: Announcement) -> None:
        _log.info(
            'Backend server announced a change.',
            instance=heard.instance_id,
            standing=heard.standing.value,
            sequence=heard.sequence,
            service=heard.service,
            slots=heard.slots,
        )
        node = self._node
        is_leaving = heard.standing is not Standing.READY
        if is_leaving:
            node.gate.refuse_waiting()
        node.renew_admission()
        self._desk.tell_change()
        if is_leaving:
            await self._keep()

    async def _keep(self) -> None:
        """Store that the server leaves, if the store answers in time.

        It need not delay the acknowledgement further, since this node itself
        refuses requests from now on.
        """
        try:
            async with asyncio.timeout(_KEEP_S):
                await self._members.keep()
        except TimeoutError:
            _log.warning(
                'Storing that the server leaves timed out; it is retried.'
            )


async def serve_readiness(node: MeshNode, request: IncomingRequest) -> None:
    """Answer 200 if the platform should send callers here, else 503."""
    request.respond(_OK if node.is_ready else _UNAVAILABLE)
