"""Order of the answers on a connection with pipelined requests.

Requests may be served at the same time, but their answers are sent in the
order in which the requests were received. An answer that ends early is held
until all answers before it have been sent.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Iterator
from typing import Final, Protocol

from carobmoor.transport._incoming import IncomingRequest, held_bytes_of

# A handler that streams a longer answer waits for its turn.
_MAX_HELD_PER_ANSWER_BYTES: Final = 65_536


class Output(Protocol):
    """The connection that carries the answers."""

    peer: str

    def write(self, payload: bytes) -> None:
        """Write data."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    def resume_reading(self) -> None:
        """Resume reading unless a limit requires the pause."""

    def is_last(self, slot: 'AnswerSlot') -> bool:
        """Return whether the connection closes after this answer."""

    def slot_ended(self, slot: 'AnswerSlot') -> None:
        """Handle the end of an answer, which may still be held."""


class LostOutput:
    """The output of a connection that was lost; drops what is written."""

    def __init__(self, peer: str) -> None:
        """Keep the address of the peer."""
        self.peer = peer

    def write(self, payload: bytes) -> None:
        """Drop the data."""

    async def drain(self) -> None:
        """Return at once."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def is_last(self, slot: 'AnswerSlot') -> bool:
        """Return that nothing follows an answer."""
        return True

    def slot_ended(self, slot: 'AnswerSlot') -> None:
        """Do nothing."""


class HeldBytes:
    """Bytes of held answers on all connections of a listener."""

    def __init__(self) -> None:
        """Start with no answer held."""
        self.total_bytes = 0


class AnswerSlot:
    """The place of a request and its answer in the order of a connection."""

    def __init__(self, order: 'AnswerOrder', request: IncomingRequest | None):
        """Create the slot of a request that has not been started.

        `request` is `None` for a refusal, which needs no handler.
        """
        self.request = request
        # Whether it may be served beside others; unknown until it is complete.
        self.may_overlap = False
        self.is_started = False
        self.has_ended = False
        # The answer broke off, so that no other may follow it.
        self.is_broken = False
        self.closes_connection = False
        self.held: list[bytes] = []
        self.held_bytes = 0
        self._order = order
        self._turn: asyncio.Future[None] | None = None

    @property
    def peer(self) -> str:
        """The address of the peer as `ip:port`."""
        return self._order.output.peer

    @property
    def closes_after_answer(self) -> bool:
        """Whether the answer must announce that the connection closes."""
        return self._order.output.is_last(self)

    def write(self, payload: bytes) -> None:
        """Write a part of the answer, or hold it until its turn."""
        self._order.write(self, payload)

    async def drain(self) -> None:
        """Wait until more of the answer may be written."""
        if (
            self._order.first is not self
            and self.held_bytes > _MAX_HELD_PER_ANSWER_BYTES
        ):
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn
        await self._order.output.drain()

    def resume_reading(self) -> None:
        """Resume reading of the connection."""
        self._order.output.resume_reading()

    def end(self) -> None:
        """End the answer."""
        self._order.end(self)

    def abort(self) -> None:
        """End the answer as incomplete."""
        self.is_broken = True
        self._order.end(self)

    def take_turn(self) -> None:
        """Wake the handler that waits for its turn."""
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)


class AnswerOrder:
    """The requests of a connection whose answers have not been sent."""

    def __init__(self, output: Output, held: HeldBytes) -> None:
        """Start without requests."""
        self.output = output
        self.held_bytes = 0
        self._held_by_all = held
        self._slots: deque[AnswerSlot] = deque()

    def __iter__(self) -> Iterator[AnswerSlot]:
        """Iterate over a snapshot of the slots in their order."""
        return iter(tuple(self._slots))

    @property
    def first(self) -> AnswerSlot | None:
        """The slot whose answer is sent next."""
        return self._slots[0] if self._slots else None

    @property
    def last(self) -> AnswerSlot | None:
        """The slot of the request that was received last."""
        return self._slots[-1] if self._slots else None

    @property
    def unstarted_bytes(self) -> int:
        """The size of the requests that wait to be started."""
        return sum(
            slot.request.head_bytes + slot.request.buffered_bytes
            for slot in self._slots
            if slot.request is not None and not slot.is_started
        )

    @property
    def waiting_bytes(self) -> int:
        """What is held of all requests and of the answers behind the first."""
        held_bytes = sum(
            held_bytes_of(slot.request)
            for slot in self._slots
            if slot.request is not None and not slot.has_ended
        )
        return self.held_bytes + held_bytes

    def append(self, request: IncomingRequest | None) -> AnswerSlot:
        """Add the slot of a request at the end of the order."""
        slot = AnswerSlot(self, request)
        self._slots.append(slot)
        return slot

    def remove_last(self) -> None:
        """Remove the last slot, whose request was not started."""
        self._slots.pop()

    def remove_unstarted(self) -> None:
        """Remove the requests that were not started."""
        self._slots = deque(slot for slot in self._slots if slot.is_started)

    def clear(self) -> None:
        """Drop all slots and what they hold, after the connection was lost."""
        for slot in self:
            slot.has_ended = True
            self._release(slot)
            slot.take_turn()
            slot.request = None
        self._slots.clear()

    def has_started_behind(self, slot: AnswerSlot) -> bool:
        """Return whether a request behind a slot was started."""
        behind = itertools.dropwhile(
            lambda other: other is not slot, self._slots
        )
        return any(other.is_started for other in behind if other is not slot)

    def write(self, slot: AnswerSlot, payload: bytes) -> None:
        """Send a part of an answer if it is its turn, else hold it."""
        if slot.has_ended:
            return
        if self.first is slot:
            self.output.write(payload)
            return
        slot.held.append(payload)
        slot.held_bytes += len(payload)
        self.held_bytes += len(payload)
        self._held_by_all.total_bytes += len(payload)

    def end(self, slot: AnswerSlot) -> None:
        """End an answer, and send those behind it whose turn has come."""
        if slot.has_ended:
            return
        slot.has_ended = True
        self._send_ended()
        self.output.slot_ended(slot)

    def _send_ended(self) -> None:
        """Remove sent answers; the answer that is next sends what it holds."""
        while self._slots and self._slots[0].has_ended:
            sent = self._slots[0]
            if sent.is_broken or sent.closes_connection:
                # Nothing may follow; the connection closes.
                return
            self._slots.popleft()
            # The request refers to the slot; a cycle would wait for the
            # garbage collector.
            sent.request = None
            if self._slots:
                self._give_turn(self._slots[0])

    def _give_turn(self, slot: AnswerSlot) -> None:
        if slot.held:
            self.output.write(b''.join(slot.held))
        self._release(slot)
        slot.take_turn()

    def _release(self, slot: AnswerSlot) -> None:
        self.held_bytes -= slot.held_bytes
        self._held_by_all.total_bytes -= slot.held_bytes
        slot.held_bytes = 0
        slot.held = []
