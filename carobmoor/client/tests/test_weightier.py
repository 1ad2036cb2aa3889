"""Of several tries the caller is told what proves least, not the last."""

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
    """Once a try may have run, no later refusal takes that back."""
    assert settle(Err(before), Err(after)) == Err(wanted)
