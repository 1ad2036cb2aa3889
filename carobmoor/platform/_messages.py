"""Rows of the table service, and how its calls fail."""

import enum
from typing import NamedTuple


class Row(NamedTuple):
    """A row: its key, its content and the tag that conditional writes name."""

    key: str
    content: bytes
    etag: str


class StoreFault(enum.StrEnum):
    """How a call to the store failed."""

    # The condition of a write did not hold; nothing was written.
    PRECONDITION = 'precondition'
    # There is no such row or object.
    MISSING = 'missing'
    # The write may have taken effect or not.
    UNAVAILABLE = 'unavailable'


class StoreFailure(NamedTuple):
    """A failed call: the fault, the step and the peer as `ip:port`."""

    fault: StoreFault
    step: str
    peer: str
    detail: str
