"""The test runner compares outcomes with `KNOWN-RED.txt`."""

import tempfile
from pathlib import Path

from nose2.tools import params

from tools.run_tests import find_unexpected, read_known_failures


@params(
    ((), (), ()),
    (('a',), ('a',), ()),
    (('a', 'b'), ('a',), ('b',)),
    (('a',), ('a', 'b'), ('b',)),
)
def test_unexpected_outcomes_are_returned(failed, known, unexpected):
    """An unlisted failure and a listed test that passes are both returned."""
    assert find_unexpected(set(failed), set(known)) == set(unexpected)


def test_only_test_lines_are_read():
    """Only lines that name a test are returned."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'KNOWN-RED.txt'
        assert read_known_failures(path) == ()
        path.write_text(
            '# note\ntest: a.b.test_c\nseen: red\nday: d --seed 1\n'
        )
        assert read_known_failures(path) == ['a.b.test_c']
        assert read_known_failures(path, 'day: ') == ['d --seed 1']
