"""A request as handed to the node that owns the backend server."""

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Coroutine,
    Sequence,
)
from typing import Any, NamedTuple, Protocol, TypeVar

from carobmoor.mesh._hop import Hop
from carobmoor.outcomes import Code, Failure, NotRun, Unknown
from carobmoor.transport import (
    CallerLost,
    CallFailure,
    HeaderList,
    proves_not_run,
)

Outcome = TypeVar('Outcome')


def _do_nothing() -> None:
    """Do nothing."""


class Body(NamedTuple):
    """The body of a request: the buffered start and the rest of a stream."""

    buffered: bytes = b''
    stream: AsyncIterator[bytes] | None = None
    # The declared length; -1 when it is sent in chunks.
    length_bytes: int = 0


class OwnerRequest(NamedTuple):
    """A request to run on this node's own backend server."""

    hop: Hop
    request_id: bytes
    method: str
    target: str
    headers: Sequence[tuple[bytes, bytes]]
    body: Body
    # Done once nobody waits for the answer.
    lost: 'asyncio.Future[None]'
    # IP address of the node that sends it.
    sender: str = ''
    # Called before the backend server gets any of it.
    on_start: Callable[[], None] = _do_nothing


class StreamedAnswer(Protocol):
    """An answer whose body streams from the own server or another node."""

    status: int
    headers: HeaderList

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the body; raises `AnswerIncomplete` if it breaks off."""

    def abandon(self, reason: str) -> None:
        """Release what it holds, unless its body was read to the end."""


async def cancel_when_lost(
    lost: 'asyncio.Future[None]',
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Run a coroutine; cancel it and raise `CallerLost` once nobody waits.

    It runs in the calling task. A result that waited in a task of its own would
    be lost if the caller were cancelled at that moment, with all that it owns.
    """
    if lost.done():
        work.close()
        raise CallerLost
    loop = asyncio.get_running_loop()
    scope = asyncio.timeout(None)
    is_working = True

    def cancel(_: object) -> None:
        # Also called if the work ends in the pass in which nobody waits.
        if is_working:
            scope.reschedule(loop.time())

    lost.add_done_callback(cancel)
    try:
        async with scope:
            return await work
    except TimeoutError:
        if scope.expired():
            raise CallerLost from None
        raise
    finally:
        is_working = False
        lost.remove_done_callback(cancel)


def failure_from_call(failure: CallFailure) -> Failure:
    """Convert the failure of a call into the failure of its request.

    It is `NotRun` only if the request provably did not reach the peer.
    """
    step = failure.step.value
    if proves_not_run(failure):
        return NotRun(Code.NOT_SENT, step, failure.peer, failure.reason)
    return Unknown(step, failure.peer, failure.reason)
