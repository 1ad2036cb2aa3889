"""Types of the requests that are sent and of their answers."""

import re
from collections.abc import AsyncIterator, Sequence
from typing import Final, NamedTuple

_MAX_PORT: Final = 65_535
_PORT: Final = re.compile('[0-9]{1,5}')

HeaderList = Sequence[tuple[bytes, bytes]]


class Address(NamedTuple):
    """The IP address and port on which a process listens."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as `ip:port`."""
        return f'{self.ip}:{self.port}'


class ProgressFloor(NamedTuple):
    """The minimum transferred per interval, below which a transfer ends."""

    interval_s: float
    min_bytes: int


class OutgoingRequest(NamedTuple):
    """A request to send.

    `body` holds the buffered start of the body and `more_body` yields the
    rest. With `more_body` and no `content-length` header the body is sent
    chunked. `echoed_header` is a header, name and value, that identifies the
    request: an answer that has it with another value belongs to another
    request and is skipped.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes = b''
    more_body: AsyncIterator[bytes] | None = None
    echoed_header: tuple[bytes, bytes] | None = None


class AnswerHead(NamedTuple):
    """The status and headers of an answer; header names are lower case."""

    status: int
    headers: HeaderList


def get_header(headers: HeaderList, name: bytes) -> str:
    """Return the first value of a header, or an empty string."""
    for header_name, header_content in headers:
        if header_name == name:
            return header_content.decode('latin-1')
    return ''


def parse_address(text: str) -> Address:
    """Parse an address given as `ip:port`.

    Raises `ValueError` if the port is missing or no port number.
    """
    ip, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError(f'{text!r} has no port from 0 to {_MAX_PORT}')
    return Address(ip, int(port))
