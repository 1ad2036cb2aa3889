"""Load reports and the candidates of a choice."""

from typing import Final, NamedTuple

import msgspec

from carobmoor.transport import Address

REPORT_HEADER: Final = b'x-carobmoor-report'


class LoadReport(NamedTuple):
    """What an owner tells of its load with every answer."""

    slots: int
    in_flight: int
    queued: int
    service_time_us: int
    is_leaving: bool


class Candidate(NamedTuple):
    """A node that owns a backend server of the wanted service."""

    address: Address
    region: str
    availability_zone: str


_decoder: Final = msgspec.json.Decoder(LoadReport)


def encode_report(report: LoadReport) -> bytes:
    """Write a report as the content of its header."""
    return msgspec.json.encode(report)


def decode_report(content: str) -> LoadReport | None:
    """Read a report; `None` when it is absent or unreadable."""
    if not content:
        return None
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError:
        return None
