"""What a backend server passes on to the calls that it makes itself."""

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
from carobmoor.transport import HeaderList, header_of

_MS_PER_S: Final = 1000


class CallContext(NamedTuple):
    """What the headers of an incoming request say of its chain of calls."""

    rank: str
    depth: int
    attempt: int
    # `None` at the start of a chain.
    retries_left: int | None
    # On the monotonic clock of this process; `None` when the request names
    # no deadline.
    deadline_s: float | None

    def child(self, call: Call) -> Call:
        """Make a call part of this chain.

        The call is one deeper, keeps the rank unless it names its own, ends
        with the deadline of the chain at the latest, and shares the chain's
        retries. A call of a chain that is out of time is given the shortest
        timeout, so that it is refused without being sent.
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
            retries_left=_least(call.retries_left, self.retries_left),
        )


def read_call_context(headers: HeaderList) -> CallContext:
    """Read the chain of calls from the headers of an incoming request.

    Read it when the request arrives, since the deadline counts from then.
    Names of headers are expected in lower case; what is absent or
    unreadable counts as the start of a chain.

    Example: an ASGI backend server that calls another service.

        context = read_call_context(scope['headers'])
        call = Call('payments', 'POST', '/deposits', body)
        called = await client.call(context.child(call))
    """
    deadline_ms = _number(headers, DEADLINE_HEADER, -1)
    retries_left = _number(headers, RETRIES_LEFT_HEADER, -1)
    deadline_s = None
    if deadline_ms >= 0:
        deadline_s = time.monotonic() + deadline_ms / _MS_PER_S
    return CallContext(
        header_of(headers, RANK_HEADER),
        _number(headers, DEPTH_HEADER, 0),
        max(FIRST_ATTEMPT, _number(headers, ATTEMPT_HEADER, FIRST_ATTEMPT)),
        retries_left if retries_left >= 0 else None,
        deadline_s,
    )


def _least(one: int | None, other: int | None) -> int | None:
    known = [count for count in (one, other) if count is not None]
    return min(known, default=None)


def _number(headers: HeaderList, name: bytes, default: int) -> int:
    text = header_of(headers, name)
    return int(text) if text.isdigit() else default
