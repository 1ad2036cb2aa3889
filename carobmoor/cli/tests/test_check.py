"""Validation of files, errors of users, schemas and help."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.cli import main
from carobmoor.cli.tests.fixtures import EXAMPLES, run_command

SETTINGS = json.loads(
    run_command('schema', '--of=settings').stdout,
)


@params('node.json', 'adeyemi.json', 'bawaba.json')
def test_example_files_are_valid(name):
    """The example files are valid."""
    completed = run_command('check', str(EXAMPLES / name))
    assert completed.exit_code == 0
    assert completed.stdout.startswith(f'{EXAMPLES / name}: valid ')


INVALID_FILES = (
    ('{', '$: found no JSON'),
    ('[]', '$: found []'),
    ('{"ranks": [], "services": {}}', '$.ranks: found []'),
    (
        '{"ranks": [{"name": "a", "target_latency_ms": 0, "worth": 1,'
        ' "guaranteed_share": 0.5}], "services": {}}',
        '$.ranks[0].target_latency_ms: found 0; '
        'Input should be greater than or equal to 1',
    ),
    (
        '{"ranks": [{"name": "a", "target_latency_ms": 1, "worth": 1,'
        ' "guaranteed_share": 0.6}, {"name": "b", "target_latency_ms": 1,'
        ' "worth": 1, "guaranteed_share": 0.6}],'
        ' "services": {"s": {"team": "t", "slots": 1}}}',
        '$.ranks[*].guaranteed_share: found a sum of 1.2; '
        'the sum may be 1 at most',
    ),
    ('{"unheard": 1}', '$.unheard: found 1'),
    ('{"listen": {"ip": "node.example", "port": 0}}', '$.listen.port: found 0'),
    ('{"listen": {}, "services": 1}', '$.services: found 1'),
)


@params(*INVALID_FILES)
def test_validation_errors_name_path_and_value(text, expected_start):
    """Each error is a line with the path, the value found and the rule."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'document.json'
        path.write_text(text)
        completed = run_command('check', str(path))
    assert completed.exit_code == 2
    assert any(
        error_line.startswith(expected_start)
        for error_line in completed.stderr.splitlines()
    ), completed.stderr


@params(
    ('check', 'no-such-file.json'),
    ('node', '--settings=no-such-file.json'),
    ('status', 'nonsense'),
    ('status', '127.0.0.1:1'),
    ('config', 'get', '127.0.0.1:1'),
    ('call', 'bookings', '/x', '127.0.0.1:1'),
    ('schema', '--of=nothing'),
)
def test_user_errors_print_no_traceback(*arguments):
    """A user's error is a message on standard error and a non-zero code."""
    completed = run_command(*arguments)
    assert completed.exit_code > 0
    assert 'Traceback' not in completed.stderr
    assert completed.stderr.strip()


def test_settings_schema_rejects_unknown_keys():
    """The schema that the console reads rejects unknown keys."""
    assert SETTINGS['additionalProperties'] is False
    assert 'backend_server' in SETTINGS['required']


def test_help_lists_the_commands():
    """The help is printed without a pager."""
    with contextlib.redirect_stdout(io.StringIO()) as out:
        completed = run_command('--help')
    printed = out.getvalue() + completed.stdout + completed.stderr
    assert 'Run a node beside its backend server' in printed
    assert main.__doc__
