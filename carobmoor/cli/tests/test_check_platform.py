"""`carobmoor check` validates the settings that the platform writes."""

import tempfile
from pathlib import Path

from nose2.tools import params

from carobmoor.cli.tests.fixtures import Ended, run_command
from carobmoor.platform.tests.fixtures import SETTINGS


def check(text: str) -> Ended:
    """Run `carobmoor check` on a file with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.conf'
        path.write_text(text)
        return run_command('check', str(path))


def test_settings_are_valid():
    """The example settings are valid."""
    ended = check(SETTINGS)
    assert ended.code == 0
    assert ended.out.endswith('valid settings of the platform\n')


@params(
    ('app=10.1.0.8:8301', 'app=here', 'app: '),
    ('service=huvo11a', '', 'service: missing'),
)
def test_fault_is_told(found, put, told):
    """The error names the field, and the exit code is not 0."""
    ended = check(SETTINGS.replace(found, put))
    assert ended.code
    assert told in ended.err
