"""The backend server's announcements, and the platform's question."""

import time
from collections.abc import Callable
from typing import Final

from result import Err, Result

from carobmoor.mesh._messages import Announcement, Standing
from carobmoor.mesh._news import NewsDesk
from carobmoor.mesh._state import MeshNode
from carobmoor.telemetry import logger_for
from carobmoor.transport import IncomingRequest

_OK: Final = 200
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503
_JSON: Final = ((b'content-type', b'application/json'),)
_log = logger_for('announce')

Read = Callable[[str, bytes], Result[Announcement, str]]


async def serve_announcement(
    node: MeshNode,
    desk: NewsDesk,
    read: Read,
    request: IncomingRequest,
) -> None:
    """Take in a heartbeat and acknowledge it."""
    parts: list[bytes] = []
    while chunk := await request.read_chunk():
        parts.append(chunk)
    heard = read(request.target.decode('latin-1'), b''.join(parts))
    if isinstance(heard, Err):
        _log.warning(
            'Announcement unreadable.',
            peer=request.peer,
            fault=heard.err_value,
        )
        request.respond(_BAD_REQUEST)
        return
    announcement = heard.ok_value
    if node.backend.announce(announcement, time.monotonic()):
        _note(node, desk, announcement)
    request.respond(_OK, _JSON, b'{}')


async def serve_readiness(node: MeshNode, request: IncomingRequest) -> None:
    """Tell the platform whether callers should be sent here."""
    request.respond(_OK if node.is_ready else _UNAVAILABLE)


def _note(node: MeshNode, desk: NewsDesk, heard: Announcement) -> None:
    _log.info(
        'Backend server announced.',
        instance=heard.instance_id,
        standing=heard.standing.value,
        sequence=heard.sequence,
        service=heard.service,
        slots=heard.slots,
    )
    if heard.standing is not Standing.READY:
        node.gate.refuse_waiting()
    node.renew_admission()
    desk.tell_change()
