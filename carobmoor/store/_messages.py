"""Rows of the table service, and how its calls fail."""

import enum
from collections.abc import Sequence
from typing import NamedTuple


class Row(NamedTuple):
    """A row: its key, its content and the tag that conditional writes name."""

    key: str
    content: bytes
    etag: str


class RowChanges(NamedTuple):
    """Rows as of one version of the store."""

    rows: Sequence[Row]
    # The keys of rows that are gone.
    deleted: Sequence[str]
    version: int
    has_more: bool = False


class StoreFault(enum.StrEnum):
    """How a call to the store failed."""

    # The condition of a write did not hold; nothing was written.
    PRECONDITION = 'precondition'
    # There is no such row or object.
    MISSING = 'missing'
    # The changes since the given version are no longer kept.
    HISTORY_LOST = 'history_lost'
    # The write may have taken effect or not.
    UNAVAILABLE = 'unavailable'


class StoreFailure(NamedTuple):
    """A failed call: the fault, the step and the peer as `ip:port`."""

    fault: StoreFault
    step: str
    peer: str
    detail: str
