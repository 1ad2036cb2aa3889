"""What is written can be read back; without a file nothing is written."""

import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.history import Event, Kind, decode_event, make_recorder


def test_events_come_back():
    """Fields survive, defaults included, and times don't fall."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'history.jsonl'
        record = make_recorder(str(path), '127.0.0.1:1')
        record(Kind.SENT, request_id='a', repeatable=True)
        record(Kind.IN_FORCE, version=3)
        lines = path.read_bytes().splitlines()
    sent, in_force = (decode_event(line) for line in lines)
    assert sent[1:5] == ('127.0.0.1:1', Kind.SENT, 'a', True)
    assert in_force.version == 3
    assert in_force.at_s >= sent.at_s


def test_without_a_file_nothing_is_written():
    """The recorder is off unless it is told a file."""
    make_recorder('', 'any')(Kind.SENT, request_id='a')


@params(b'', b'[]', b'{"at_s":1}', b'{"at_s":1,"process":"a","kind":"x"}')
def test_other_lines_are_refused(line):
    """What is no event is told as such."""
    try:
        event = decode_event(line)
    except (ValueError, TypeError):
        return
    raise AssertionError(event)


def test_equal_events_are_equal():
    """Events are plain values."""
    assert Event(1, 'a', Kind.SENT) == Event(1, 'a', Kind.SENT)
