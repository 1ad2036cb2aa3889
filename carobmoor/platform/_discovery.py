"""What a backend server tells of itself, decoded into announcements."""

from types import MappingProxyType
from typing import Final
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from carobmoor.mesh import Announcement, ServerStatus
from carobmoor.platform._names import DEREGISTER, HEARTBEAT, INSTANCES_PATH
from carobmoor.platform._units import read_address, read_duration_ms

_STATUS_BY_STATE: Final = MappingProxyType(
    {'ready': ServerStatus.READY, 'draining': ServerStatus.LEAVING},
)


class _About(msgspec.Struct):
    service: str
    slots: int
    zone: str = ''
    version: str = ''


class _Status(msgspec.Struct, rename='camel'):
    state: str
    sequence: int
    cold_remaining: str = '0ms'


class _Beat(msgspec.Struct):
    address: str
    about: _About = msgspec.field(name='info')
    status: _Status
    # The Unix millisecond of the start of the backend server.
    born: int = 0


class _Leave(msgspec.Struct):
    born: int = 0


_beat_decoder: Final = msgspec.json.Decoder(_Beat)
_leave_decoder: Final = msgspec.json.Decoder(_Leave)


def read_announcement(
    target: str,
    body: bytes,
) -> Result[Announcement, str]:
    """Read a heartbeat or a deregistration; `Err` says what is wrong."""
    path = target.partition('?')[0]
    instance_id, _, call = path.removeprefix(INSTANCES_PATH).rpartition('/')
    if not path.startswith(INSTANCES_PATH) or not instance_id:
        return Err(f'no call {path!r}')
    try:
        return _read(unquote(instance_id), call, body)
    except (msgspec.DecodeError, ValueError) as error:
        return Err(f'{instance_id}: {error}')


def _read(
    instance_id: str,
    call: str,
    body: bytes,
) -> Result[Announcement, str]:
    if call == DEREGISTER:
        born_ms = _leave_decoder.decode(body).born if body.strip() else 0
        return Ok(Announcement(instance_id, ServerStatus.GONE, born_ms))
    if call != HEARTBEAT:
        return Err(f'no call {call!r}')
    beat = _beat_decoder.decode(body)
    server_status = _STATUS_BY_STATE.get(beat.status.state)
    if server_status is None:
        return Err(f'{instance_id}: unknown state {beat.status.state!r}')
    if beat.about.slots < 1:
        return Err(f'{instance_id}: slots {beat.about.slots}')
    return Ok(
        Announcement(
            instance_id,
            server_status,
            beat.born,
            beat.status.sequence,
            read_address(beat.address),
            beat.about.service,
            beat.about.slots,
            read_duration_ms(beat.status.cold_remaining),
        ),
    )
