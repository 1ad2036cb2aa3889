"""What a history tells, one event a line."""

import enum
from typing import NamedTuple

import msgspec


class Kind(enum.StrEnum):
    """What happened."""

    # Written by callers.
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    # Written by nodes.
    ADMITTED = 'admitted'
    IN_FORCE = 'in_force'
    LEAVING = 'leaving'
    STOPPED = 'stopped'
    PROBED = 'probed'
    # Written by backend servers.
    STARTED = 'started'
    ENDED = 'ended'
    # Written by operators: a version accepted, and one found kept later.
    ACCEPTED = 'accepted'
    KEPT = 'kept'
    # Written by whoever makes a process or its links fail, and mends them.
    FAILED = 'failed'
    MENDED = 'mended'


class Event(NamedTuple):
    """One event; fields that don't apply keep their defaults."""

    at_s: float
    # The process that writes: the address of a node or backend server.
    process: str
    kind: Kind
    request_id: str = ''
    # Whether the request may run more than once.
    repeatable: bool = False
    # The digest of the request's body, as sent or as it arrived.
    asked: str = ''
    # The digest of an answer's body or of a configuration.
    digest: str = ''
    # A version of the configuration.
    version: int = 0
    # How many requests run on the backend server with this one.
    running: int = 0
    # The other process: the backend server beside a node, the peer that a
    # failure names, or whoever is made to fail.
    subject: str = ''
    detail: str = ''


def encode_event(event: Event) -> bytes:
    """Write an event as one line; fields at their defaults are left out."""
    defaults = Event._field_defaults
    told = {
        name: content
        for name, content in event._asdict().items()
        if content != defaults.get(name)
    }
    return b'%b\n' % msgspec.json.encode(told)


def decode_event(line: bytes) -> Event:
    """Read a line back; raises `ValueError` when it is no event."""
    told = msgspec.json.decode(line)
    if not isinstance(told, dict) or not Event._field_defaults.keys() >= (
        told.keys() - {'at_s', 'process', 'kind'}
    ):
        raise ValueError('no event')
    kind = Kind(told.pop('kind', ''))
    return Event(kind=kind, **told)
