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
        self._open: set[asyncio.StreamWriter] = set()
        self._may_pass = asyncio.Event()
        self._held: tuple[bytes, asyncio.Future[bytes]] | None = None

    async def listen(self, address: Address) -> asyncio.Server:
        """Accept connections at an address and relay them to the target."""
        self._may_pass.set()
        return await asyncio.start_server(self._serve, *address)

    def turn(self, mode: Mode, amount: int) -> None:
        """Change the mode, also for open connections.

        `amount` is the delay in ms for `DELAY` and the number of bytes for
        `TRUNCATE`; other modes ignore it.
        """
        self.mode = mode
        self.amount = amount
        if mode is Mode.HOLD:
            self._may_pass.clear()
        else:
            self._may_pass.set()
        if mode is Mode.CUT:
            self.close()

    def close(self) -> None:
        """Abort all connections."""
        for writer in self._open:
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._open.add(writer)
        try:
            await self._connect(reader, writer)
        finally:
            self._close_one(writer)

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is Mode.CUT:
            return
        with contextlib.suppress(OSError):
            onward_reader, onward = await asyncio.open_connection(*self.target)
            self._open.add(onward)
            ways = (
                asyncio.ensure_future(self._pass(reader, onward, False)),
                asyncio.ensure_future(self._pass(onward_reader, writer, True)),
            )
            try:
                # A client may close its sending side before it has the answer.
                await ways[1]
            finally:
                _cancel(ways)
                self._close_one(onward)

    def _close_one(self, writer: asyncio.StreamWriter) -> None:
        self._open.discard(writer)
        writer.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_READ_BYTES):
                await self._may_pass.wait()
                if is_answer:
                    chunk = await self._spoil(chunk)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.amount / _MS_PER_S)
                writer.write(chunk)
                await writer.drain()
                if is_answer and self.mode is Mode.TRUNCATE:
                    return
            await self._may_pass.wait()
            writer.write_eof()

    async def _spoil(self, chunk: bytes) -> bytes:
        if self.mode is Mode.TRUNCATE:
            return chunk[: self.amount]
        if self.mode is Mode.LOSE:
            return b''
        if self.mode is not Mode.CROSS:
            return chunk
        if self._held is None:
            other = asyncio.get_running_loop().create_future()
            self._held = (chunk, other)
            return await other
        held, waiting = self._held
        self._held = None
        waiting.set_result(chunk)
        return held


def _cancel(ways: Sequence[asyncio.Future[None]]) -> None:
    for way in ways:
        way.cancel()
