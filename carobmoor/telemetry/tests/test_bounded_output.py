"""The volume of logs is bounded, and writing them never blocks.

Without a limit, a flood of requests floods the log; with a blocking writer, a
log reader that stops would stop the node too.
"""

import os

import structlog

from carobmoor.telemetry._bounded_output import (
    EventRateLimit,
    NonBlockingWriter,
)


def test_lines_beyond_burst_are_dropped():
    """Other events still pass, and the next line counts the dropped ones."""
    now_s = float(0)
    limit = EventRateLimit(lambda: now_s)
    passed = 0
    for _ in range(500):
        try:
            limit(None, 'info', {'event': 'Request ended.'})
        except structlog.DropEvent:
            continue
        passed += 1
    assert passed == 200
    assert limit(None, 'info', {'event': 'Other.'}) == {'event': 'Other.'}
    now_s = float(1)
    passed_line = limit(None, 'info', {'event': 'Request ended.'})
    assert passed_line['dropped_before'] == 300
    assert limit.dropped == 300


def test_full_pipe_drops_whole_lines():
    """A stopped reader costs dropped lines, but no wait and no partial line."""
    read_end, write_end = os.pipe()
    writer = NonBlockingWriter(write_end)
    line = 'x' * 999 + '\n'
    for _ in range(200):
        writer.write(line)
    assert writer.dropped
    received = b''
    os.set_blocking(read_end, False)
    for _ in range(10):
        received += _read_available(read_end)
        writer.write('last\n')
    lines = received.decode().split('\n')
    assert {len(line_read) for line_read in lines[:-1]} <= {999, 4}
    os.close(read_end)
    writer.write(line)
    os.close(write_end)


def _read_available(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 65536)
    except BlockingIOError:
        return b''
