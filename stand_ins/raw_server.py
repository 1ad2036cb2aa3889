"""A backend server that answers with given bytes, for faults in its answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Collection, Sequence
from typing import Final, NamedTuple

from carobmoor.transport import Address

_HEAD_END: Final = b'\r\n\r\n'
_LENGTH: Final = b'content-length:'
# Between two pieces of an answer, so that they arrive apart.
_PAUSE_S: Final = 0.02


class RawRequest(NamedTuple):
    """A request as received, and its place on its connection."""

    head: bytes
    # Counts the requests of the connection from zero.
    place: int

    @property
    def target(self) -> str:
        """The path and the query."""
        return self.head.split(b' ', 2)[1].decode()

    def value_of(self, name: bytes) -> str:
        """Return the content of a header; empty if it is absent."""
        for line in self.head.split(b'\r\n'):
            found, _, content = line.partition(b':')
            if found.lower() == name:
                return content.strip().decode()
        return ''


class RawAnswer(NamedTuple):
    """The pieces of an answer, and whether the connection closes after them."""

    pieces: Sequence[bytes]
    closes: bool = False


Script = Callable[[RawRequest], RawAnswer]


@contextlib.asynccontextmanager
async def serving_raw(address: Address, script: Script) -> AsyncIterator[None]:
    """Answer each request at an address as the script says."""

    open_writers: set[asyncio.StreamWriter] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        open_writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await _serve_connection(reader, writer, script)
        writer.close()
        open_writers.discard(writer)

    server = await asyncio.start_server(serve, *address)
    try:
        yield
    finally:
        server.close()
        await _close_all(open_writers)


async def _close_all(writers: Collection[asyncio.StreamWriter]) -> None:
    for writer in writers:
        writer.close()
    # Lets the connections end before their event loop does.
    await asyncio.sleep(_PAUSE_S)


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    script: Script,
) -> None:
    place = 0
    closes = False
    while not closes:
        head = await reader.readuntil(_HEAD_END)
        await reader.readexactly(_length_of(head))
        pieces, closes = script(RawRequest(head, place))
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(_PAUSE_S)
        place += 1


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(_LENGTH):
            return int(line.removeprefix(_LENGTH))
    return 0
