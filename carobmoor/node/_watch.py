"""Detecting callers that disconnect or stop reading their answer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from carobmoor.node._body import IncomingBody
from carobmoor.node._relay import Send
from carobmoor.transport import ProgressFloor

TRANSPORT_EXTENSION: Final = 'carobmoor.transport'
# Work that ends sooner is not watched: a quick call costs one timer only.
_WATCH_AFTER_S: Final = 0.05

Outcome = TypeVar('Outcome')


class CallerGone(ConnectionError):
    """The caller disconnected before it had its answer."""


class CallerStalled(ConnectionError):
    """The caller read its answer more slowly than the progress floor."""


async def unless_gone(
    body: IncomingBody,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Await the work; if its caller disconnects, cancel it.

    Raises `CallerGone` in that case. The caller is watched only once its
    whole request was read.
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
    """Wrap `send` so that it fails when the caller reads too slowly.

    If fewer bytes than the floor asks leave the write buffer in an interval,
    the connection is aborted and `CallerStalled` is raised.
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
    """Waits for a caller to disconnect, starting after a delay."""

    def __init__(self, body: IncomingBody, stop: Callable[[], None]) -> None:
        """Schedule the watch; `stop` is called when the caller disconnects."""
        self._body = body
        self._stop = stop
        self._waiting: asyncio.Task[None] | None = None
        self._arm()

    def close(self) -> None:
        """Stop watching."""
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
