"""Decoding of the announcements that a backend server sends to its node."""

from types import MappingProxyType
from typing import Final
from urllib.parse import unquote

import msgspec
from result import Err, Ok, Result

from carobmoor.decoding import Count, decoder_of
from carobmoor.mesh import Announcement, ServerStatus
from carobmoor.platform._names import DEREGISTER, HEARTBEAT, INSTANCES_PATH
from carobmoor.platform._units import parse_duration_ms, parse_ip_port

_STATUS_BY_STATE: Final = MappingProxyType(
    {'ready': ServerStatus.READY, 'draining': ServerStatus.LEAVING},
)


class _InstanceInfo(msgspec.Struct):
    service: str
    slots: Count
    zone: str = ''
    version: str = ''


class _InstanceStatus(msgspec.Struct, rename='camel'):
    state: str
    sequence: Count
    cold_remaining: str = '0ms'


class _Heartbeat(msgspec.Struct):
    address: str
    about: _InstanceInfo = msgspec.field(name='info')
    status: _InstanceStatus
    # Start time of the backend server in Unix milliseconds.
    born: Count = 0


class _Deregistration(msgspec.Struct):
    born: Count = 0


_heartbeat_decode: Final = decoder_of(_Heartbeat)
_deregistration_decode: Final = decoder_of(_Deregistration)


def decode_announcement(
    target: str,
    body: bytes,
) -> Result[Announcement, str]:
    """Decode a heartbeat or a deregistration.

    `Err` holds a message that says what is wrong.
    """
    path = target.partition('?')[0]
    instance_id, _, call = path.removeprefix(INSTANCES_PATH).rpartition('/')
    if not path.startswith(INSTANCES_PATH) or not instance_id:
        return Err(f'unknown announcement path {path!r}')
    try:
        return _decode_call(unquote(instance_id), call, body)
    except (msgspec.DecodeError, ValueError) as error:
        return Err(f'{instance_id}: {error}')


def _decode_call(
    instance_id: str,
    call: str,
    body: bytes,
) -> Result[Announcement, str]:
    if call == DEREGISTER:
        born_ms = _deregistration_decode(body).born if body.strip() else 0
        return Ok(Announcement(instance_id, ServerStatus.GONE, born_ms))
    if call != HEARTBEAT:
        return Err(f'unknown announcement call {call!r}')
    heartbeat = _heartbeat_decode(body)
    member_status = _STATUS_BY_STATE.get(heartbeat.status.state)
    if member_status is None:
        return Err(f'{instance_id}: unknown state {heartbeat.status.state!r}')
    if heartbeat.about.slots < 1:
        return Err(
            f'{instance_id}: slots {heartbeat.about.slots}, expected at least 1'
        )
    return Ok(
        Announcement(
            instance_id,
            member_status,
            heartbeat.born,
            heartbeat.status.sequence,
            parse_ip_port(heartbeat.address),
            heartbeat.about.service,
            heartbeat.about.slots,
            parse_duration_ms(heartbeat.status.cold_remaining),
            heartbeat.about.zone,
        ),
    )
