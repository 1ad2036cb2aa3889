"""What one connection holds, and the progress that it makes."""

import time
from typing import Final

from carobmoor.transport._memory_account import AccountShare, MemoryAccount
from carobmoor.transport._read_buffer import MAX_READ_BYTES
from carobmoor.transport._shedding import ConnectionLoad, Phase

# Less than this is no progress, so that a trickle doesn't count as one.
_MIN_PROGRESS_BYTES: Final = 1024
_MIN_READ_BYTES: Final = 4096
# Parts of bodies in one read, beyond which the next read is small: each part
# costs a call, and all connections may be readable at once.
_MANY_PARTS: Final = 256


class ConnectionUsage:
    """The share of the account and the progress of one connection."""

    def __init__(self, account: MemoryAccount) -> None:
        """Start with nothing held, at the time of the accept."""
        self.share = AccountShare(account)
        # Parts of bodies in the present read.
        self.parts = 0
        self._has_many_parts = False
        self._progressed_at_s = time.monotonic()
        self._received_bytes = 0
        self._written_bytes = 0
        self._flushed_bytes = 0

    @property
    def next_read_bytes(self) -> int:
        """How much may be read at once."""
        if self._has_many_parts:
            return _MIN_READ_BYTES
        rest_bytes = self.share.account.allowance_bytes - self.share.held_bytes
        return max(_MIN_READ_BYTES, min(rest_bytes, MAX_READ_BYTES))

    def restart(self) -> None:
        """Measure progress from now on."""
        self._progressed_at_s = time.monotonic()
        self._received_bytes = 0

    def record_read(self, read_bytes: int) -> None:
        """Record a read, once it was parsed."""
        self._has_many_parts = self.parts > _MANY_PARTS
        self.parts = 0
        self._received_bytes += read_bytes
        if self._received_bytes >= _MIN_PROGRESS_BYTES:
            self.restart()

    def record_written(self, written_bytes: int) -> None:
        """Record that a part of an answer was written."""
        if self._flushed_bytes == self._written_bytes:
            self.restart()
        self._written_bytes += written_bytes

    def load(self, phase: Phase, unsent_bytes: int) -> ConnectionLoad:
        """Return the state of the connection for the decisions."""
        flushed_bytes = self._written_bytes - unsent_bytes
        if flushed_bytes != self._flushed_bytes:
            self._flushed_bytes = flushed_bytes
            self.restart()
        return ConnectionLoad(
            phase,
            time.monotonic() - self._progressed_at_s,
            self.share.is_exhausted,
        )
