"""The events of a history and their encoding, one per line."""

import enum
from typing import NamedTuple

import msgspec

from carobmoor.decoding import decode_json


class EventKind(enum.StrEnum):
    """The kind of an event."""

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
    # Written by operators: a version accepted, or found kept later.
    ACCEPTED = 'accepted'
    KEPT = 'kept'
    # Written by whoever injects a fault into a process or link, or removes it.
    FAILED = 'failed'
    MENDED = 'mended'


class Event(NamedTuple):
    """One event; fields that do not apply keep their defaults."""

    at_s: float
    # The writing process: the address of a node or backend server, or the
    # name of a caller.
    process: str
    kind: EventKind
    request_id: str = ''
    # Whether the request may run more than once.
    repeatable: bool = False
    # The digest of the request's body, as sent or as received.
    asked: str = ''
    # The digest of an answer's body or of a configuration.
    digest: str = ''
    # A version of the configuration.
    version: int = 0
    # How many requests run on the backend server, including this one.
    running: int = 0
    # The other process: the backend server beside a node, the peer that a
    # failure names, or the process or link in which a fault is injected.
    subject: str = ''
    detail: str = ''


def encode_event(event: Event) -> bytes:
    """Encode an event as one line; fields at their defaults are omitted."""
    defaults = Event._field_defaults
    written_fields = {
        name: content
        for name, content in event._asdict().items()
        if content != defaults.get(name)
    }
    return b'%b\n' % msgspec.json.encode(written_fields)


def decode_event(line: bytes) -> Event:
    """Decode one line.

    Raises `ValueError` or `TypeError` if it is not an event.
    """
    fields = decode_json(line)
    if not isinstance(fields, dict) or not Event._field_defaults.keys() >= (
        fields.keys() - {'at_s', 'process', 'kind'}
    ):
        raise ValueError('not an event of a history')
    kind = EventKind(fields.pop('kind', ''))
    return Event(kind=kind, **fields)
