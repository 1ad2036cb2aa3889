"""Detecting callers that disconnect or stop reading their answer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from carobmoor.node._answers import Send
from carobmoor.node._body import IncomingBody
from carobmoor.transport import ProgressFloor

TRANSPORT_EXTENSION: Final = 'carobmoor.transport'
# A list that is empty until a server may have got a part of the request.
SENT_EXTENSION: Final = 'carobmoor.sent'
# Work that ends sooner is not watched: a quick call costs one timer only.
_WATCH_DELAY_S: Final = 0.05

WorkResult = TypeVar('WorkResult')


class CallerDisconnected(ConnectionError):
    """The caller disconnected before it had its answer."""


class CallerStalled(ConnectionError):
    """The caller read its answer more slowly than the progress floor."""


async def cancel_on_disconnect(
    body: IncomingBody,
    work: Coroutine[Any, Any, WorkResult],
) -> WorkResult:
    """Await the work; if its caller disconnects, cancel it.

    Raises `CallerDisconnected` in that case. The caller is watched only once
    its whole request was read.
    """
    loop = asyncio.get_running_loop()
    cancel_scope = asyncio.timeout(None)

    def stop() -> None:
        cancel_scope.reschedule(loop.time())

    watch = _DisconnectWatch(body, stop)
    try:
        async with cancel_scope:
            return await work
    except TimeoutError:
        if cancel_scope.expired():
            raise CallerDisconnected from None
        raise
    finally:
        watch.close()


def enforce_send_progress(
    send: Send,
    transport: asyncio.Transport,
    floor: ProgressFloor,
) -> Send:
    """Wrap `send` so that it fails when the caller reads too slowly.

    If fewer bytes than the floor asks leave the write buffer in an interval,
    the connection is aborted and `CallerStalled` is raised.
    """

    async def send_with_progress(message: Any) -> None:
        if transport.get_write_buffer_size():
            await _send_with_progress_check(send, message, transport, floor)
        else:
            await send(message)

    return send_with_progress


async def _send_with_progress_check(
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
            remaining_bytes = transport.get_write_buffer_size()
            flushed_bytes = unsent_bytes - remaining_bytes
            if not sending.done() and flushed_bytes < floor.min_bytes:
                transport.abort()
                raise CallerStalled
            unsent_bytes = remaining_bytes
    finally:
        sending.cancel()
    sending.result()


class _DisconnectWatch:
    """Waits for a caller to disconnect, starting after a delay."""

    def __init__(self, body: IncomingBody, stop: Callable[[], None]) -> None:
        """Schedule the watch; `stop` is called when the caller disconnects."""
        self._body = body
        self._stop = stop
        self._watch_task: asyncio.Task[None] | None = None
        self._schedule()

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_WATCH_DELAY_S, self._start_when_complete)

    def _start_when_complete(self) -> None:
        if self._body.is_complete:
            self._watch_task = asyncio.create_task(self._wait_for_disconnect())
        else:
            self._schedule()

    async def _wait_for_disconnect(self) -> None:
        await self._body.wait_for_disconnect()
        self._stop()
