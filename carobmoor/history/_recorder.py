"""Recording the history of one process."""

import os
import time
from typing import Any, Final, Protocol

from carobmoor.history._events import Event, EventKind, encode_event

_OPEN_FLAGS: Final = os.O_WRONLY | os.O_APPEND | os.O_CREAT
_FILE_MODE: Final = 0o644


class EventRecorder(Protocol):
    """Records one event of this process; keywords are the event's fields."""

    def __call__(self, kind: EventKind, **fields: Any) -> None:
        """Record the event with the current time."""


def make_recorder(path: str, process: str) -> EventRecorder:
    """Return a function that appends events to a file.

    With an empty path the function does nothing. Each event is one write, so
    that a killed process leaves whole lines.
    """
    if not path:
        return _discard
    descriptor = os.open(path, _OPEN_FLAGS, _FILE_MODE)

    def record(kind: EventKind, **fields: Any) -> None:
        event = Event(time.monotonic(), process, kind, **fields)
        os.write(descriptor, encode_event(event))

    return record


def _discard(kind: EventKind, **fields: Any) -> None:
    """Discard the event."""
