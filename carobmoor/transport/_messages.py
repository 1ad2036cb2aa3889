"""What a call sends and what it gets back."""

from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

HeaderList = Sequence[tuple[bytes, bytes]]


class Address(NamedTuple):
    """Where a process listens: an IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Write the address as `ip:port`."""
        return f'{self.ip}:{self.port}'


class ProgressFloor(NamedTuple):
    """The least a transfer must move in each interval, or it is ended."""

    interval_s: float
    least_bytes: int


class OutgoingRequest(NamedTuple):
    """One request to write on a connection.

    `body` holds what is at hand already; `more_body` gives the rest of a
    streamed body. With `more_body` and no `content-length` header the body
    is sent chunked. An answer that carries the header `echoed` with another
    content belongs to another request and is skipped.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes = b''
    more_body: AsyncIterator[bytes] | None = None
    echoed: tuple[bytes, bytes] | None = None


class AnswerHead(NamedTuple):
    """The status and the headers of an answer; names are in lower case."""

    status: int
    headers: HeaderList


def header_of(headers: HeaderList, name: bytes) -> str:
    """Give the first value of a header, or an empty string."""
    for header_name, header_content in headers:
        if header_name == name:
            return header_content.decode('latin-1')
    return ''


def parse_address(text: str) -> Address:
    """Read an address written as `ip:port`.

    Raises `ValueError` where the port is missing or no number.
    """
    ip, _, port = text.rpartition(':')
    return Address(ip, int(port))
