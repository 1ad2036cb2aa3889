"""One caller's request while it is pursued."""

import time
from collections.abc import Mapping
from typing import Final

from carobmoor.mesh._order import Body
from carobmoor.outcomes import Failure, Unknown
from carobmoor.routes import Kind, Route
from carobmoor.transport import Address, IncomingRequest

# Bodies up to this size are read whole, so that they can be sent again.
_KEPT_BODY_BYTES: Final = 65_536
_MS_PER_S: Final = 1000


class Pursuit:
    """A request, its limits, and what became of its attempts."""

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
        # The version of the routes that decided.
        self.version = 0
        # What decided the last choice, for the log.
        self.chosen: Mapping[str, object] = {}
        self.body = Body()
        self.tried: list[Address] = []
        # Owners whose server was slow; each is asked once more at most.
        self.bounced: set[Address] = set()
        # Sends that reached a backend server, or may have.
        self.sends = 0
        # Whether a copy may have run, so that "not run" can't be promised.
        self.may_have_run = False
        self.last_failure: Failure | None = None

    @property
    def left_s(self) -> float:
        """The time left for an answer."""
        return self.deadline_s - time.monotonic()

    @property
    def target_left_s(self) -> float:
        """The time left for a good answer; below 0 once it has passed."""
        return self.target_at_s - time.monotonic()

    @property
    def may_repeat(self) -> bool:
        """Whether another send is allowed after one that may have run."""
        if self.route.kind is not Kind.IDEMPOTENT:
            return False
        return self.may_try_again

    @property
    def may_try_again(self) -> bool:
        """Whether another send is possible at all."""
        if self.body.rest is not None or self.request.has_started:
            return False
        return self.left_s > 0 and self.sends < self.route.most_attempts

    def note_failure(self, failure: Failure) -> None:
        """Count an attempt that failed."""
        self.last_failure = failure
        if isinstance(failure, Unknown):
            self.sends += 1
            self.may_have_run = True
        elif failure.step == 'answer':
            # The backend server itself refused it.
            self.sends += 1


async def read_body(request: IncomingRequest) -> Body:
    """Read a small body whole, and the start of a larger one.

    Raises `CallerLost` when the caller leaves before that.
    """
    length_bytes = request.body_bytes
    request.invite_body()
    parts: list[bytes] = []
    kept_bytes = 0
    while kept_bytes < _KEPT_BODY_BYTES:
        chunk = await request.read_chunk()
        if not chunk:
            return Body(b''.join(parts), None, kept_bytes)
        parts.append(chunk)
        kept_bytes += len(chunk)
    return Body(b''.join(parts), request.chunks(), length_bytes)


async def discard_body(request: IncomingRequest) -> None:
    """Read a short body, so that a refusal isn't lost in a reset."""
    if request.body_bytes <= _KEPT_BODY_BYTES:
        await read_body(request)
