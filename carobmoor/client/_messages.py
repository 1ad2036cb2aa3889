"""What a caller asks for and what it gets."""

from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from carobmoor.retries import FIRST_ATTEMPT
from carobmoor.tickets import Ticket
from carobmoor.transport import HeaderList


class Call(NamedTuple):
    """One request to a service.

    A call that is not `repeatable` is sent at most once, however it fails.
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
    # The caller's own ticket; without one the library mints what it needs.
    ticket: Ticket | None = None
    # Which attempt of the whole chain of calls this is, from 1.
    attempt: int = FIRST_ATTEMPT
    # How many further attempts the chain may still make for this call; as
    # many as the configuration allows when `None`.
    retries_left: int | None = None
    # Hears of each step: the part, what it did, and to or with whom.
    note: Callable[[str, str, str], None] | None = None


class CallAnswer(NamedTuple):
    """The whole answer to a call, and the node that owned it."""

    status: int
    headers: HeaderList
    body: bytes
    owner: str
    request_id: str
