"""The volume of logs is bounded, and writing them never blocks.

Without a limit, a flood of requests floods the log; with a blocking writer, a
log reader that stops would stop the node too.
"""

import os

import structlog

from carobmoor.telemetry._volume import DroppingWriter, VolumeLimit


def test_lines_beyond_the_budget_are_counted():
    """Other events still pass, and the next line counts the dropped ones."""
    now_s = float(0)
    limit = VolumeLimit(lambda: now_s)
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
    told = limit(None, 'info', {'event': 'Request ended.'})
    assert told['dropped_before'] == 300
    assert limit.dropped == 300


def test_full_pipe_drops_lines():
    """With a reader that stopped, lines are dropped, never blocked or cut."""
    reading, writing = os.pipe()
    writer = DroppingWriter(writing)
    line = 'x' * 999 + '\n'
    for _ in range(200):
        writer.write(line)
    assert writer.dropped
    read = b''
    os.set_blocking(reading, False)
    for _ in range(10):
        read += _read(reading)
        writer.write('last\n')
    lines = read.decode().split('\n')
    assert {len(one) for one in lines[:-1]} <= {999, 4}
    os.close(reading)
    writer.write(line)
    os.close(writing)


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 65536)
    except BlockingIOError:
        return b''
