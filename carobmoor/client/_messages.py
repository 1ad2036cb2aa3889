"""A call to a service, and its answer."""

from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from carobmoor.retries import FIRST_ATTEMPT
from carobmoor.tickets import Ticket
from carobmoor.transport import HeaderList


class Call(NamedTuple):
    """One request to a service.

    A call that is not `repeatable` runs at most once, however it fails.
    """

    service: str
    method: str
    target: str
    body: bytes = b''
    more_body: AsyncIterator[bytes] | None = None
    headers: HeaderList = ()
    rank: str = ''
    timeout_ms: int = 2000
    repeatable: bool = False
    request_id: str = ''
    depth: int = 0
    caller: str = ''
    # A ticket supplied by the caller; without one the client mints its own.
    ticket: Ticket | None = None
    # Number of this attempt in the whole chain of calls, from 1.
    attempt: int = FIRST_ATTEMPT
    # Attempts that the chain may still add for this call; `None` means as
    # many as the configuration allows.
    retries_left: int | None = None
    # Called at each step with the component, the event, and the peer or other
    # details.
    note: Callable[[str, str, str], None] | None = None


class CallAnswer(NamedTuple):
    """The whole answer to a call, and the owner node that sent it."""

    status: int
    headers: HeaderList
    body: bytes
    owner: str
    request_id: str
