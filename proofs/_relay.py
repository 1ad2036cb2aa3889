"""A TCP relay on the loopback that injects faults into one link."""

import asyncio
import contextlib
import enum
from collections.abc import Sequence
from typing import Final

from carobmoor.transport import Address

_READ_BYTES: Final = 65536
_MS_PER_S: Final = 1000


class Mode(enum.StrEnum):
    """How a relay treats its connections and the data on them."""

    # Forwards everything.
    MEND = 'mend'
    # Closes all connections, and new ones at once.
    CUT = 'cut'
    # Keeps connections open but forwards nothing.
    HOLD = 'hold'
    # Forwards everything after a delay.
    DELAY = 'delay'
    # Swaps the answers of two connections.
    CROSS = 'cross'
    # Forwards the first bytes of each answer, then closes the connection.
    TRUNCATE = 'truncate'
    # Forwards requests but drops their answers.
    LOSE = 'lose'


class Relay:
    """Forwards connections to a target, with the faults of its mode."""

    def __init__(self, target: Address) -> None:
        """Forward everything to the target until the mode is changed."""
        self.target = target
        self.mode = Mode.MEND
        self.amount = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._may_forward = asyncio.Event()
        self._held_answer: tuple[bytes, asyncio.Future[bytes]] | None = None

    async def listen(self, address: Address) -> asyncio.Server:
        """Accept connections at an address and relay them to the target."""
        self._may_forward.set()
        return await asyncio.start_server(self._serve, *address)

    def switch_mode(self, mode: Mode, amount: int) -> None:
        """Change the mode, also for open connections.

        `amount` is the delay in ms for `DELAY` and the number of bytes for
        `TRUNCATE`; other modes ignore it.
        """
        self.mode = mode
        self.amount = amount
        if mode is Mode.HOLD:
            self._may_forward.clear()
        else:
            self._may_forward.set()
        if mode is Mode.CUT:
            self.close()

    def close(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            await self._forward_connection(reader, writer)
        finally:
            self._abort(writer)

    async def _forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is Mode.CUT:
            return
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
            self._writers.add(target_writer)
            directions = (
                asyncio.ensure_future(
                    self._forward(reader, target_writer, False)
                ),
                asyncio.ensure_future(
                    self._forward(target_reader, writer, True)
                ),
            )
            try:
                # A client may close its sending side before it has the answer.
                await directions[1]
            finally:
                _cancel_all(directions)
                self._abort(target_writer)

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_READ_BYTES):
                await self._may_forward.wait()
                if is_answer:
                    chunk = await self._apply_fault(chunk)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.amount / _MS_PER_S)
                writer.write(chunk)
                await writer.drain()
                if is_answer and self.mode is Mode.TRUNCATE:
                    return
            await self._may_forward.wait()
            writer.write_eof()

    async def _apply_fault(self, chunk: bytes) -> bytes:
        if self.mode is Mode.TRUNCATE:
            return chunk[: self.amount]
        if self.mode is Mode.LOSE:
            return b''
        if self.mode is not Mode.CROSS:
            return chunk
        if self._held_answer is None:
            own_future = asyncio.get_running_loop().create_future()
            self._held_answer = (chunk, own_future)
            return await own_future
        held, held_future = self._held_answer
        self._held_answer = None
        held_future.set_result(chunk)
        return held


def _cancel_all(directions: Sequence[asyncio.Future[None]]) -> None:
    for direction in directions:
        direction.cancel()
