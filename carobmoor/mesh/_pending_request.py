"""A caller's request while it is being served."""

import time
from collections.abc import Mapping
from typing import Final

from carobmoor.mesh._owner_request import Body
from carobmoor.outcomes import Code, Failure, Unknown
from carobmoor.quarantine import IDENTIFIED_BODY_BYTES
from carobmoor.routes import Route, bind_regions
from carobmoor.teams import Team
from carobmoor.transport import Address, IncomingRequest

# Smaller bodies are buffered, so that they can be resent. Of larger ones the
# part that identifies them is.
_MAX_BUFFERED_BODY_BYTES: Final = IDENTIFIED_BODY_BYTES
_MS_PER_S: Final = 1000
_BACKLOG_CODES: Final = frozenset(
    (Code.BACKLOG, Code.QUEUE_FULL, Code.DEADLINE_UNREACHABLE)
)


class PendingRequest:
    """A request, its limits and the state of its attempts."""

    def __init__(
        self,
        request: IncomingRequest,
        route: Route,
        service: str,
        deadline_s: float,
    ) -> None:
        """Start before the first attempt."""
        self.request = request
        self.route = route
        self.service = service
        self.deadline_s = deadline_s
        self.started_s = time.monotonic()
        self.target_at_s = self.started_s + route.target_latency_ms / _MS_PER_S
        # The version of the routes that were in force at its arrival.
        self.version = 0
        # The team whose key the request carried; `None` for anonymous ones.
        self.team: Team | None = None
        # Whether it holds a start of its team's allotment.
        self.holds_start = False
        # When a start that the allotment refused would fit.
        self.allotment_wait_s = float(0)
        # Inputs of the last choice of an owner, for the log.
        self.chosen: Mapping[str, object] = {}
        self.body = Body()
        self.tried: list[Address] = []
        # Owners that declined because their server was slow. Each may be
        # chosen once more, and then may not decline.
        self.declined: set[Address] = set()
        # Attempts that reached a backend server or may have done so.
        self.sends = 0
        # Owners that refused it for lack of time.
        self.backlog_refusals = 0
        # Once true, the caller must not be told that the request did not run.
        self.may_have_run = False
        self.last_failure: Failure | None = None

    @property
    def priority(self) -> int:
        """Its rank; 0 is the most urgent. That of its team comes first."""
        if self.team is None or self.team.priority is None:
            return self.route.priority
        return self.team.priority

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions whose servers may run it; `None` if nothing binds it."""
        team_regions = frozenset() if self.team is None else self.team.regions
        return bind_regions(self.route.regions, team_regions)

    @property
    def remaining_s(self) -> float:
        """Time until the deadline; negative once it has passed."""
        return self.deadline_s - time.monotonic()

    @property
    def target_remaining_s(self) -> float:
        """Time until the target latency; negative once it has passed."""
        return self.target_at_s - time.monotonic()

    @property
    def may_run_again(self) -> bool:
        """Whether it may be sent again although it may have run."""
        if not self.route.kind.may_repeat:
            return False
        return self.may_attempt_again

    @property
    def may_attempt_again(self) -> bool:
        """Whether body, time and attempts allow another send.

        A streamed body or a started answer rules it out.
        """
        if self.body.stream is not None or self.request.has_started:
            return False
        return self.remaining_s > 0 and self.sends < self.route.max_attempts

    def record_failure(self, failure: Failure) -> None:
        """Record a failed attempt, and whether the request may have run."""
        self.last_failure = failure
        self.backlog_refusals += failure.code in _BACKLOG_CODES
        if isinstance(failure, Unknown):
            self.sends += 1
            self.may_have_run = True
        elif failure.step == 'answer':
            # The refusal came from the backend server itself.
            self.sends += 1


async def read_body(request: IncomingRequest) -> Body:
    """Buffer a body below 64 KiB, or at least that much of a larger one.

    The rest of a larger body is streamed. Raises `CallerLost` when the caller
    disconnects while the body is buffered.
    """
    length_bytes = request.body_bytes
    request.send_continue()
    parts: list[bytes] = []
    buffered_bytes = 0
    while buffered_bytes < _MAX_BUFFERED_BODY_BYTES:
        chunk = await request.read_chunk()
        if not chunk:
            return Body(b''.join(parts), None, buffered_bytes)
        parts.append(chunk)
        buffered_bytes += len(chunk)
        request.retained_bytes += len(chunk)
    return Body(b''.join(parts), request.chunks(), length_bytes)


async def discard_body(request: IncomingRequest) -> None:
    """Read a small body, so that a refusal is not lost in a reset.

    Closing a connection with unread data resets it.
    """
    if request.body_bytes <= _MAX_BUFFERED_BODY_BYTES:
        await read_body(request)
