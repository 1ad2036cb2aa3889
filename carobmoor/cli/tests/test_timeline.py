"""`carobmoor timeline` merges the log lines of several nodes by time."""

import json
import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.cli._timeline import read_lines, select_lines
from carobmoor.cli.tests.fixtures import run_command

OWNER = '10.0.0.2:8300'


def line(second, event, **fields):
    """Return a log line at this second of a fixed minute."""
    at = f'2026-01-16T07:29:{second:09.6f}Z'
    return json.dumps({**fields, 'event': event, 'timestamp': at})


FORWARD = (
    line(3, '[forward] Request failed.', request_id='r', tried=[OWNER]),
    line(4, '[forward] Request failed.', request_id='other', tried=[OWNER]),
    line(2, '[news] Node known.', peer=OWNER, leaving=True),
    line(2.5, '[news] Node known.', peer='10.0.0.3:8300'),
    line(3.5, '[news] Node known.', peer=OWNER),
    'Traceback, no log line {',
    '',
)
NUMERIC = line(1, '[owner] Request run.', request_id='12e5')
OWNED = (line(2.8, '[owner] Request run.', request_id='r', took_ms=700),)


def test_lines_of_a_request_are_told_in_order():
    """Lines of the request and of its owners are merged across files."""
    with tempfile.TemporaryDirectory() as folder:
        first = Path(folder, 'first.log')
        second = Path(folder, 'second.log')
        first.write_text('\n'.join(FORWARD))
        second.write_text('\n'.join(OWNED))
        ended = run_command('timeline', 'r', str(first), str(second))
    told = ended.out.splitlines()
    assert ended.code == 0
    assert [one.split()[2] for one in told] == ['first', 'second', 'first']
    assert 'leaving=True' in told[0]
    assert 'took_ms=700' in told[1]
    assert '+1.000' in told[2]


def test_numeric_id_is_no_number():
    """An id such as 12e5 is not parsed as a number by `fire`."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'one.log')
        path.write_text(NUMERIC)
        ended = run_command('timeline', '12e5', str(path))
    assert ended.code == 0, ended.err


def test_unknown_request_is_told():
    """Without a line of the request the command fails."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'one.log')
        path.write_text(OWNED[0])
        ended = run_command('timeline', 'none', str(path))
    assert ended.code != 0
    assert not ended.out


@params(('  1.5 node-7 ', 'node-7'), ('', 'file'))
def test_name_before_a_line_goes_first(prefix, node):
    """A node name that a log collector wrote before the line is used."""
    lines = tuple(read_lines([f'{prefix}{OWNED[0]}'], 'file'))
    assert [one.node for one in lines] == [node]
    assert select_lines(lines, 'r') == [lines[0]]
