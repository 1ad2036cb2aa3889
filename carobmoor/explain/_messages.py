"""The record of one request at one node."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from carobmoor.decoding import decoder_of

_MS_PER_S: Final = 1000


class RequestStep(NamedTuple):
    """One step of a request: which component did what, and with whom."""

    # Time since the request arrived at the node.
    elapsed_s: float
    component: str
    event: str
    subject: str


class RequestRecord(NamedTuple):
    """How one node processed one request."""

    request_id: str
    node: str
    service: str
    rank: str
    caller: str
    depth: int
    # Arrival of the request as Unix time.
    arrived_s: float
    outcome: str
    steps: Sequence[RequestStep]


_decode: Final = decoder_of(RequestRecord)


def decode_record(body: bytes) -> RequestRecord:
    """Decode a record.

    Raises `msgspec.DecodeError` if the body is not a record.
    """
    return _decode(body)


def render_records(records: Sequence[RequestRecord]) -> str:
    """Render the records of one request as text, in order of arrival."""
    ordered = sorted(records, key=_arrival)
    return '\n\n'.join(_render_record(record) for record in ordered)


def _arrival(record: RequestRecord) -> float:
    return record.arrived_s


def _render_record(record: RequestRecord) -> str:
    rank = record.rank or 'default'
    header = (
        f'{record.request_id} at {record.node}: {record.outcome}\n'
        f'  service {record.service}, rank {rank}, '
        f'caller {record.caller}, depth {record.depth}'
    )
    return '\n'.join((header, *(_render_step(step) for step in record.steps)))


def _render_step(step: RequestStep) -> str:
    elapsed_ms = step.elapsed_s * _MS_PER_S
    return (
        f'  {elapsed_ms:>9.2f} ms  '
        f'{step.component}: {step.event} {step.subject}'
    )
