"""Noticing a caller that went away, or that stopped reading its answer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from carobmoor.node._body import IncomingBody
from carobmoor.node._relay import Send
from carobmoor.transport import ProgressFloor

TRANSPORT_EXTENSION: Final = 'carobmoor.transport'
# Shorter waits are not watched, so that a quick call pays one timer only.
_WATCH_AFTER_S: Final = 0.05

Outcome = TypeVar('Outcome')


class CallerGone(ConnectionError):
    """The caller closed its connection before it had its answer."""


class CallerStalled(ConnectionError):
    """The caller read less of its answer than the progress floor asks."""


async def unless_gone(
    body: IncomingBody,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Do the work; cancel it and raise `CallerGone` when its caller leaves.

    The caller is watched once its whole request was read.
    """
    loop = asyncio.get_running_loop()
    limit = asyncio.timeout(None)

    def stop() -> None:
        limit.reschedule(loop.time())

    watch = _Watch(body, stop)
    try:
        async with limit:
            return await work
    except TimeoutError:
        if limit.expired():
            raise CallerGone from None
        raise
    finally:
        watch.close()


def above_floor(
    send: Send,
    transport: asyncio.Transport,
    floor: ProgressFloor,
) -> Send:
    """Wrap a caller's `send` so that it ends for a caller that stalls.

    The bytes that leave the write buffer in an interval are counted; below
    the floor the connection is closed and `CallerStalled` is raised.
    """

    async def bounded(message: Any) -> None:
        if transport.get_write_buffer_size():
            await _send_watched(send, message, transport, floor)
        else:
            await send(message)

    return bounded


async def _send_watched(
    send: Send,
    message: Any,
    transport: asyncio.Transport,
    floor: ProgressFloor,
) -> None:
    unsent_bytes = transport.get_write_buffer_size()
    sending = asyncio.ensure_future(send(message))
    try:
        while not sending.done():
            await asyncio.wait((sending,), timeout=floor.interval_s)
            left_bytes = transport.get_write_buffer_size()
            moved_bytes = unsent_bytes - left_bytes
            if not sending.done() and moved_bytes < floor.least_bytes:
                transport.abort()
                raise CallerStalled
            unsent_bytes = left_bytes
    finally:
        sending.cancel()
    sending.result()


class _Watch:
    """Waits for the end of a caller's connection, after a while."""

    def __init__(self, body: IncomingBody, stop: Callable[[], None]) -> None:
        """Call `stop` when the caller is gone."""
        self._body = body
        self._stop = stop
        self._waiting: asyncio.Task[None] | None = None
        self._arm()

    def close(self) -> None:
        """Watch no longer."""
        self._timer.cancel()
        if self._waiting is not None:
            self._waiting.cancel()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_WATCH_AFTER_S, self._look)

    def _look(self) -> None:
        if self._body.is_whole:
            self._waiting = asyncio.create_task(self._wait())
        else:
            self._arm()

    async def _wait(self) -> None:
        await self._body.wait_gone()
        self._stop()
