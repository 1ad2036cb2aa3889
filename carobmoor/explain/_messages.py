"""The record of one request at one node."""

from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec

_MS_PER_S: Final = 1000


class Note(NamedTuple):
    """One step of a request: which part did what, and to or with whom."""

    # Since the request arrived at the node.
    after_s: float
    part: str
    event: str
    subject: str


class RequestRecord(NamedTuple):
    """The way that one request took through one node."""

    request_id: str
    node: str
    service: str
    rank: str
    caller: str
    depth: int
    # When the request arrived, as Unix time.
    arrived_s: float
    outcome: str
    notes: Sequence[Note]


_decoder: Final = msgspec.json.Decoder(RequestRecord)


def decode_record(body: bytes) -> RequestRecord:
    """Read a record; raises `msgspec.DecodeError`."""
    return _decoder.decode(body)


def render_records(records: Sequence[RequestRecord]) -> str:
    """Write the records of one request as text, in order of arrival."""
    ordered = sorted(records, key=_arrival)
    return '\n\n'.join(_render(record) for record in ordered)


def _arrival(record: RequestRecord) -> float:
    return record.arrived_s


def _render(record: RequestRecord) -> str:
    rank = record.rank or 'default'
    head = (
        f'{record.request_id} at {record.node}: {record.outcome}\n'
        f'  service {record.service}, rank {rank}, '
        f'caller {record.caller}, depth {record.depth}'
    )
    return '\n'.join((head, *(_render_note(note) for note in record.notes)))


def _render_note(note: Note) -> str:
    after_ms = note.after_s * _MS_PER_S
    return f'  {after_ms:>9.2f} ms  {note.part}: {note.event} {note.subject}'
