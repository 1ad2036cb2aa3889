"""A uvicorn connection that counts in the account of its process."""

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from carobmoor.node._caller_watch import SENT_EXTENSION
from carobmoor.transport import (
    FIELD_OVERHEAD_BYTES,
    ConnectionGuard,
    ConnectionLoad,
    ConnectionUsage,
    FramingMeter,
    Phase,
    read_buffer,
)

# The application keeps at most this much of a body that it passes on.
_MAX_KEPT_BYTES: Final = 65_536


class GuardedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Records what the connection holds, and reads less under pressure."""

    def __init__(self, guard: ConnectionGuard, **options: Any) -> None:
        """Start with nothing held."""
        super().__init__(**options)
        self.peer = ''
        self.in_head = True
        # A request has begun, and its body has not been received to its end.
        self.is_receiving = False
        self._guard = guard
        self._usage = ConnectionUsage(self._guard.account)
        self._framing = FramingMeter()
        # Of the body that is being received.
        self._body_bytes = 0
        # Parts of a body that were received in the present read.
        self._parts = bytearray()
        self._is_held_back = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Register the connection, and close another if there are too many."""
        super().connection_made(transport)
        self.peer = ':'.join(str(part) for part in self.client or ())
        self._guard.make_room()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request, and hold nothing more."""
        super().connection_lost(exc)
        self._usage.share.update(0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read; less while the connections hold much."""
        return read_buffer(self._usage.next_read_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(read_buffer(nbytes))  # type: ignore[arg-type]

    def on_body(self, body: bytes) -> None:
        """Collect a part of a body until the read is parsed."""
        self._usage.parts += 1
        self._body_bytes += len(body)
        self._parts += body

    @property
    def is_unused(self) -> bool:
        """Whether no request has begun on this connection yet."""
        return self.cycle is None and not self.is_receiving

    @property
    def is_closing(self) -> bool:
        """Whether the connection was closed or reset."""
        return self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """What was written and is still to be taken by the kernel."""
        return self.transport.get_write_buffer_size()

    def load(self) -> ConnectionLoad:
        """Return the state of the connection for the guard."""
        unsent_bytes = self.unsent_bytes
        return self._usage.load(self._phase(unsent_bytes), unsent_bytes)

    def resume_reading(self) -> None:
        """Resume reading if only the account required the pause."""
        self._update_held()
        if not self._is_held_back or self._usage.share.is_exhausted:
            return
        self._is_held_back = False
        if self.cycle is None or not self.cycle.body:
            self.flow.resume_reading()

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abort()

    def _end_read(self, read_bytes: int) -> None:
        """Pass on the parts of a body, and pause if too much is held."""
        self._pass_on_parts()
        self._usage.record_read(read_bytes)
        self._update_held()
        if self.is_receiving and self._usage.share.is_exhausted:
            self._is_held_back = True
            self.flow.pause_reading()

    def _pass_on_parts(self) -> None:
        if self._parts:
            received = bytes(self._parts)
            self._parts.clear()
            HttpToolsProtocol.on_body(self, received)

    def _phase(self, unsent_bytes: int) -> Phase:
        if unsent_bytes:
            return Phase.ANSWERING
        is_answered = self.cycle is None or self.cycle.response_complete
        if self.is_receiving and (self.in_head or not is_answered):
            extensions: Any = self.scope['extensions']
            is_sent = not self.in_head and bool(extensions[SENT_EXTENSION])
            return Phase.RUNNING if is_sent else Phase.RECEIVING
        return Phase.IDLE if is_answered else Phase.RUNNING

    def _update_held(self) -> None:
        """Update what the connection holds of the account."""
        held_bytes = self._framing.unreported_bytes + self.unsent_bytes
        is_answered = self.cycle is None or self.cycle.response_complete
        if self.is_receiving or not is_answered:
            held_bytes += sum(
                len(name) + len(content) + FIELD_OVERHEAD_BYTES
                for name, content in self.headers
            )
        if not is_answered:
            held_bytes += len(self.cycle.body)
            held_bytes += min(self._body_bytes, _MAX_KEPT_BYTES)
        self._usage.share.update(held_bytes)
