"""A request as it is handed to the node that owns its backend server."""

import asyncio
from collections.abc import AsyncIterator, Coroutine, Sequence
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


class Body(NamedTuple):
    """The body of a request: what is at hand, and the rest of a stream."""

    first: bytes = b''
    rest: AsyncIterator[bytes] | None = None
    # The declared length; -1 when it is sent in chunks.
    length_bytes: int = 0


class Order(NamedTuple):
    """A request to run here."""

    hop: Hop
    request_id: bytes
    method: str
    target: str
    headers: Sequence[tuple[bytes, bytes]]
    body: Body
    # Done once nobody waits for the answer any more.
    lost: 'asyncio.Future[None]'


class Running(Protocol):
    """An answer under way, from here or from another node."""

    status: int
    headers: HeaderList

    def chunks(self) -> AsyncIterator[bytes]:
        """Give the body; raises `AnswerBroken` when it breaks off."""


async def until_lost(
    lost: 'asyncio.Future[None]',
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Do the work; cancel it and raise `CallerLost` when nobody waits."""
    task = asyncio.ensure_future(work)
    try:
        await asyncio.wait((task, lost), return_when=asyncio.FIRST_COMPLETED)
    finally:
        if not task.done():
            task.cancel()
    if not task.done():
        raise CallerLost
    return task.result()


def failure_of(failure: CallFailure) -> Failure:
    """Tell what a lost call means for its request."""
    step = failure.step.value
    if proves_not_run(failure):
        return NotRun(Code.NOT_SENT, step, failure.peer, failure.reason)
    return Unknown(step, failure.peer, failure.reason)
