"""Recorded events decode again; without a file nothing is recorded."""

import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.history import Event, EventKind, decode_event, make_recorder


def test_recorded_events_decode():
    """All fields are restored, including defaults; times never decrease."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'history.jsonl'
        record = make_recorder(str(path), '127.0.0.1:1')
        record(EventKind.SENT, request_id='a', repeatable=True)
        record(EventKind.IN_FORCE, version=3)
        lines = path.read_bytes().splitlines()
    sent, in_force = (decode_event(line) for line in lines)
    assert sent[1:5] == ('127.0.0.1:1', EventKind.SENT, 'a', True)
    assert in_force.version == 3
    assert in_force.at_s >= sent.at_s


def test_recorder_without_path_accepts_events():
    """A recorder with an empty path accepts events and drops them."""
    make_recorder('', 'any')(EventKind.SENT, request_id='a')


@params(b'', b'[]', b'{"at_s":1}', b'{"at_s":1,"process":"a","kind":"x"}')
def test_invalid_lines_raise(line):
    """Lines that are not events raise an error."""
    try:
        event = decode_event(line)
    except (ValueError, TypeError):
        return
    raise AssertionError(event)


def test_events_compare_by_value():
    """Events compare by value."""
    assert Event(1, 'a', EventKind.SENT) == Event(1, 'a', EventKind.SENT)
