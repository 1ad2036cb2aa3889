"""A relay on the loopback that makes one link fail on command."""

import asyncio
import contextlib
import enum
from collections.abc import Sequence
from typing import Final

from carobmoor.transport import Address

_READ_BYTES: Final = 65536
_MS_PER_S: Final = 1000


class Mode(enum.StrEnum):
    """What a relay does with what it gets."""

    MEND = 'mend'
    # Closes every connection and every new one.
    CUT = 'cut'
    # Keeps connections open and passes nothing on.
    HOLD = 'hold'
    # Passes everything on, late.
    DELAY = 'delay'
    # Swaps the answers of two connections.
    CROSS = 'cross'
    # Passes a number of bytes of each answer, then closes.
    TRUNCATE = 'truncate'
    # Passes requests on and drops their answers.
    LOSE = 'lose'


class Relay:
    """One link: its mode, its connections and the answer held for another."""

    def __init__(self, target: Address) -> None:
        """Pass everything on to the target."""
        self.target = target
        self.mode = Mode.MEND
        self.amount = 0
        self._open: set[asyncio.StreamWriter] = set()
        self._may_pass = asyncio.Event()
        self._held: tuple[bytes, asyncio.Future[bytes]] | None = None

    async def listen(self, address: Address) -> asyncio.Server:
        """Accept connections for the target."""
        self._may_pass.set()
        return await asyncio.start_server(self._serve, *address)

    def turn(self, mode: Mode, amount: int) -> None:
        """Change what the relay does, also with open connections."""
        self.mode = mode
        self.amount = amount
        if mode is Mode.HOLD:
            self._may_pass.clear()
        else:
            self._may_pass.set()
        if mode is Mode.CUT:
            self.close()

    def close(self) -> None:
        """Close every connection at once."""
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
                # The end of a request alone leaves its answer to come.
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
