"""Event histories of processes, recorded for a checker.

A process writes one file of JSON lines; without a file it records nothing.
Times are of `CLOCK_MONOTONIC`, which all processes of one machine share;
histories of different machines can't be compared by time.

Example: record the start of a request.

    record = make_recorder('/tmp/backend-1.jsonl', '127.0.0.1:7201')
    record(EventKind.STARTED, request_id='4f1c', running=3)
"""

from carobmoor.history._events import (
    Event,
    EventKind,
    decode_event,
    encode_event,
)
from carobmoor.history._recorder import EventRecorder, make_recorder

__all__ = [
    'Event',
    'EventKind',
    'EventRecorder',
    'decode_event',
    'encode_event',
    'make_recorder',
]
