"""Rows of the table service, and the failures of calls to the store."""

import enum
from collections.abc import Sequence
from typing import NamedTuple


class Row(NamedTuple):
    """A row; a conditional write succeeds only if it names the row's `etag`."""

    key: str
    content: bytes
    etag: str


class RowChanges(NamedTuple):
    """Rows as of one version of the store."""

    rows: Sequence[Row]
    # Keys of deleted rows.
    deleted: Sequence[str]
    version: int
    has_more: bool = False


class StoreFault(enum.StrEnum):
    """How a call to the store failed."""

    # The condition of a write was not met; nothing was written.
    PRECONDITION = 'precondition'
    # There is no such row or object.
    MISSING = 'missing'
    # The changes since the given version are no longer available.
    HISTORY_LOST = 'history_lost'
    # The call failed; a write may still take effect or have done so.
    UNAVAILABLE = 'unavailable'


class StoreFailure(NamedTuple):
    """A failed call; `step` is where it failed, `peer` is an `ip:port`."""

    fault: StoreFault
    step: str
    peer: str
    detail: str
