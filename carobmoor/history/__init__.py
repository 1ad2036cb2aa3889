"""Histories: what processes did, written down for a checker to judge.

A process writes one file of JSON lines, and nothing unless it is told a
file. Times are of `CLOCK_MONOTONIC`, which all processes of one machine
share; histories of different machines can't be compared by time.

Example: write the start of a request.

    record = make_recorder('/tmp/backend-1.jsonl', '127.0.0.1:7201')
    record(Kind.STARTED, request_id='4f1c', running=3)
"""

from carobmoor.history._events import Event, Kind, decode_event, encode_event
from carobmoor.history._recorder import Record, make_recorder

__all__ = [
    'Event',
    'Kind',
    'Record',
    'decode_event',
    'encode_event',
    'make_recorder',
]
