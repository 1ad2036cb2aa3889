"""`carobmoor timeline` merges the log lines of several nodes by time."""

import json
import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.cli._timeline import parse_lines, select_lines
from carobmoor.cli.tests.fixtures import run_command

OWNER = '10.0.0.2:8300'


def log_line(second, event, **fields):
    """Return a log line at this second of a fixed minute."""
    at = f'2026-01-16T07:29:{second:09.6f}Z'
    return json.dumps({**fields, 'event': event, 'timestamp': at})


FORWARDER_LINES = (
    log_line(3, '[forward] Request failed.', request_id='r', tried=[OWNER]),
    log_line(4, '[forward] Request failed.', request_id='other', tried=[OWNER]),
    log_line(2, '[news] Node known.', peer=OWNER, leaving=True),
    log_line(2.5, '[news] Node known.', peer='10.0.0.3:8300'),
    log_line(3.5, '[news] Node known.', peer=OWNER),
    'Traceback, no log line {',
    '',
)
NUMERIC_ID_LINE = log_line(1, '[owner] Request run.', request_id='12e5')
OWNER_LINES = (
    log_line(2.8, '[owner] Request run.', request_id='r', took_ms=700),
)


def test_lines_of_request_are_merged_by_time():
    """Lines of the request and of its owners are merged across files."""
    with tempfile.TemporaryDirectory() as folder:
        first = Path(folder, 'first.log')
        second = Path(folder, 'second.log')
        first.write_text('\n'.join(FORWARDER_LINES))
        second.write_text('\n'.join(OWNER_LINES))
        completed = run_command('timeline', 'r', str(first), str(second))
    printed_lines = completed.stdout.splitlines()
    assert completed.exit_code == 0
    assert [one.split()[2] for one in printed_lines] == [
        'first',
        'second',
        'first',
    ]
    assert 'leaving=True' in printed_lines[0]
    assert 'took_ms=700' in printed_lines[1]
    assert '+1.000' in printed_lines[2]


def test_id_that_looks_numeric_stays_text():
    """An id such as 12e5 is not parsed as a number by `fire`."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'one.log')
        path.write_text(NUMERIC_ID_LINE)
        completed = run_command('timeline', '12e5', str(path))
    assert completed.exit_code == 0, completed.stderr


def test_unknown_request_fails():
    """Without a line of the request the command fails."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'one.log')
        path.write_text(OWNER_LINES[0])
        completed = run_command('timeline', 'none', str(path))
    assert completed.exit_code != 0
    assert not completed.stdout


@params(('  1.5 node-7 ', 'node-7'), ('', 'file'))
def test_node_name_before_line_takes_precedence(prefix, node):
    """A node name that a log collector wrote before the line is used."""
    lines = tuple(parse_lines([f'{prefix}{OWNER_LINES[0]}'], 'file'))
    assert [one.node for one in lines] == [node]
    assert select_lines(lines, 'r') == [lines[0]]
