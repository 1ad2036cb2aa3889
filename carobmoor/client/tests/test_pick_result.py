"""Tests of which of several attempt results the caller receives."""

from nose2.tools import params
from result import Err

from carobmoor.client._verdict import settle
from carobmoor.outcomes import Code, NotRun, Unknown

LOST = Unknown('awaiting_answer', '10.0.0.1:1')
LAPSED = NotRun(Code.DEADLINE_LAPSED, 'admission', '10.0.0.2:1')
FULL = NotRun(Code.QUEUE_FULL, 'admission', '10.0.0.2:1')
NOBODY = NotRun(Code.NO_CANDIDATE, 'choice', 'bookings')


@params(
    (LOST, LAPSED, LOST),
    (LOST, NOBODY, LOST),
    (NOBODY, LAPSED, LAPSED),
    (FULL, NOBODY, FULL),
    (FULL, LOST, LOST),
)
def test_a_try_that_may_have_run_outweighs(before, after, wanted):
    """A refusal must not hide that another attempt may have run.

    The caller would send the request again and it could run twice. Of two
    refusals, one by an owner replaces "no candidate".
    """
    assert settle(Err(before), Err(after)) == Err(wanted)
