"""A request in progress at this node, with its limits and timings."""

import time
from typing import Any, Final

from carobmoor.configuration import ServiceDocument
from carobmoor.explain import RequestStep
from carobmoor.node._answers import Send
from carobmoor.node._body import IncomingBody, Receive
from carobmoor.node._caller_watch import (
    SENT_EXTENSION,
    TRANSPORT_EXTENSION,
    enforce_send_progress,
)
from carobmoor.node._context import RequestContext
from carobmoor.transport import HeaderList, OutgoingRequest, ProgressFloor

_MS_PER_S: Final = 1000
_DEFAULT_DEADLINE_MS: Final = 10_000
_DEFAULT_MAX_BODY_BYTES: Final = 1_073_741_824
_DEFAULT_PROGRESS_INTERVAL_MS: Final = 10_000
_DEFAULT_PROGRESS_MIN_BYTES: Final = 1


class PendingRequest:
    """A request in progress at this node, and the way to answer it."""

    def __init__(
        self,
        context: RequestContext,
        service_document: ServiceDocument,
        scope: Any,
        receive: Receive,
        send: Send,
    ) -> None:
        """Start the deadline and apply the limits of the service."""
        self.context = context
        self.headers: HeaderList = scope['headers']
        self.caller = context.caller or scope['client'][0]
        self.started_s = time.monotonic()
        deadline_ms = context.deadline_ms or service_document.get(
            'default_deadline_ms',
            _DEFAULT_DEADLINE_MS,
        )
        self.deadline_s = self.started_s + deadline_ms / _MS_PER_S
        # Whether a ticket table, here or at the owner, decides on the request.
        self.is_ticket_decided = False
        self.steps: list[RequestStep] = []
        self.queued_s = float(0)
        self.is_forwarded = False
        self.service_s = float(0)
        # As sent to the backend server.
        self.backend_request: OutgoingRequest | None = None
        self.progress_floor = _progress_floor_of(service_document)
        transport = scope['extensions'][TRANSPORT_EXTENSION]
        self._sent_marks = scope['extensions'].get(SENT_EXTENSION, [])
        self.send = enforce_send_progress(send, transport, self.progress_floor)
        self.max_body_bytes = service_document.get(
            'most_body_bytes',
            _DEFAULT_MAX_BODY_BYTES,
        )
        self.body = IncomingBody(
            receive,
            self.progress_floor,
            self.max_body_bytes,
            is_absent=not context.body_bytes,
        )

    def backdate_deadline(self, arrival_s: float) -> None:
        """Move the deadline earlier if the request arrived earlier."""
        self.deadline_s -= max(0, self.started_s - arrival_s)

    def mark_sent(self) -> None:
        """Record that a server may have got a part of the request."""
        self._sent_marks.append(self.started_s)

    def add_note(self, part: str, event: str, subject: str = '') -> None:
        """Add a step to the record of this request."""
        after_s = time.monotonic() - self.started_s
        self.steps.append(RequestStep(after_s, part, event, subject))

    @property
    def remaining_s(self) -> float:
        """The time until the deadline; negative once it has passed."""
        return self.deadline_s - time.monotonic()


def _progress_floor_of(service_document: ServiceDocument) -> ProgressFloor:
    interval_ms = service_document.get(
        'progress_interval_ms', _DEFAULT_PROGRESS_INTERVAL_MS
    )
    min_bytes = service_document.get(
        'progress_least_bytes', _DEFAULT_PROGRESS_MIN_BYTES
    )
    return ProgressFloor(interval_ms / _MS_PER_S, min_bytes)
