"""Closes a connection without cutting what its peer is still being sent."""

import asyncio
from typing import Final

# How long a connection stays half-open after its last byte was sent, so that
# the peer reads it.
_LINGER_S: Final = 1
_FLUSH_POLL_S: Final = 0.1


def close_after_sending(transport: asyncio.Transport) -> None:
    """Half-close a connection, and reset it a second after its last byte.

    A reset at once could discard an answer that the peer has not read. A peer
    that takes nothing for long is for the caller to cut off.
    """
    if transport.is_closing():
        return
    if transport.can_write_eof():
        try:
            transport.write_eof()
        except OSError:
            # The peer has reset the connection, which was not read yet.
            transport.abort()
            return
    _linger(transport)


def _linger(transport: asyncio.Transport) -> None:
    if transport.is_closing():
        return
    loop = asyncio.get_running_loop()
    if transport.get_write_buffer_size():
        loop.call_later(_FLUSH_POLL_S, _linger, transport)
    else:
        loop.call_later(_LINGER_S, transport.abort)
