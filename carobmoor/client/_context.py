"""Call context that a backend server passes on to the calls it makes."""

import time
from typing import Final, NamedTuple

from carobmoor.client._headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    RANK_HEADER,
    RETRIES_LEFT_HEADER,
)
from carobmoor.client._messages import Call
from carobmoor.retries import FIRST_ATTEMPT
from carobmoor.transport import HeaderList, get_header

_MS_PER_S: Final = 1000


class CallContext(NamedTuple):
    """The state of a chain of calls, read from the headers of a request."""

    rank: str
    depth: int
    attempt: int
    # `None` at the start of a chain.
    retries_left: int | None
    # On the monotonic clock of this process; `None` without a deadline.
    deadline_s: float | None

    def child(self, call: Call) -> Call:
        """Return a call as the next link of this chain.

        The call is one level deeper, inherits the rank unless it names its
        own, ends at the deadline of the chain at the latest, and shares the
        retries of the chain. After that deadline its timeout is 0, so it is
        refused without being sent.
        """
        timeout_ms = call.timeout_ms
        if self.deadline_s is not None:
            left_ms = (self.deadline_s - time.monotonic()) * _MS_PER_S
            timeout_ms = max(0, min(timeout_ms, int(left_ms)))
        return call._replace(
            rank=call.rank or self.rank,
            depth=self.depth + 1,
            timeout_ms=timeout_ms,
            attempt=self.attempt,
            retries_left=_min_known(call.retries_left, self.retries_left),
        )


def read_call_context(headers: HeaderList) -> CallContext:
    """Read the call context from the headers of an incoming request.

    Call this when the request arrives, since the deadline counts from then.
    Header names must be in lower case. A missing or invalid header is read as
    if the request were the start of a chain.

    Example: an ASGI backend server that calls another service.

        context = read_call_context(scope['headers'])
        call = Call('payments', 'POST', '/deposits', body)
        called = await client.call(context.child(call))
    """
    deadline_ms = _int_header(headers, DEADLINE_HEADER, -1)
    retries_left = _int_header(headers, RETRIES_LEFT_HEADER, -1)
    deadline_s = None
    if deadline_ms >= 0:
        deadline_s = time.monotonic() + deadline_ms / _MS_PER_S
    return CallContext(
        get_header(headers, RANK_HEADER),
        _int_header(headers, DEPTH_HEADER, 0),
        max(FIRST_ATTEMPT, _int_header(headers, ATTEMPT_HEADER, FIRST_ATTEMPT)),
        retries_left if retries_left >= 0 else None,
        deadline_s,
    )


def _min_known(first: int | None, second: int | None) -> int | None:
    counts = [count for count in (first, second) if count is not None]
    return min(counts, default=None)


def _int_header(headers: HeaderList, name: bytes, default: int) -> int:
    text = get_header(headers, name)
    return int(text) if text.isdigit() else default
