"""The test runner compares outcomes with `KNOWN-RED.txt`."""

import tempfile
from pathlib import Path

from nose2.tools import params

from tools.run_tests import judge, read_known_red


@params(
    ((), (), ()),
    (('a',), ('a',), ()),
    (('a', 'b'), ('a',), ('b',)),
    (('a',), ('a', 'b'), ('b',)),
)
def test_judge(failed, known, surprises):
    """An unlisted failure and a listed test that passes are both returned."""
    assert judge(set(failed), set(known)) == set(surprises)


def test_read_known_red():
    """Only lines that name a test are returned."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'KNOWN-RED.txt'
        assert read_known_red(path) == ()
        path.write_text('# note\ntest: a.b.test_c\nseen: red\n')
        assert read_known_red(path) == ['a.b.test_c']
