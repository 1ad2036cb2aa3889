"""`carobmoor check` validates the settings that the platform writes."""

import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.cli.tests.fixtures import CompletedCommand, run_command
from carobmoor.platform.tests.fixtures import SETTINGS


def check(text: str) -> CompletedCommand:
    """Run `carobmoor check` on a file with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.conf'
        path.write_text(text)
        return run_command('check', str(path))


def test_example_settings_are_valid():
    """The example settings are valid."""
    completed = check(SETTINGS)
    assert completed.exit_code == 0
    assert completed.stdout.endswith('valid settings of the platform\n')


@params(
    ('app=10.1.0.8:8301', 'app=here', 'app: '),
    ('service=huvo11a', '', 'service: missing'),
)
def test_invalid_setting_is_named_in_error(
    original, replacement, expected_error
):
    """The error names the field, and the exit code is not 0."""
    completed = check(SETTINGS.replace(original, replacement))
    assert completed.exit_code
    assert expected_error in completed.stderr
