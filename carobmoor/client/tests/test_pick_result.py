"""Tests of which of several attempt results the caller receives."""

from nose2.tools import params
from result import Err

from carobmoor.client._attempt_results import pick_result
from carobmoor.outcomes import Code, NotRun, Unknown

LOST = Unknown('awaiting_answer', '10.0.0.1:1')
LAPSED = NotRun(Code.DEADLINE_LAPSED, 'admission', '10.0.0.2:1')
FULL = NotRun(Code.QUEUE_FULL, 'admission', '10.0.0.2:1')
NO_OWNER = NotRun(Code.NO_CANDIDATE, 'choice', 'bookings')


@params(
    (LOST, LAPSED, LOST),
    (LOST, NO_OWNER, LOST),
    (NO_OWNER, LAPSED, LAPSED),
    (FULL, NO_OWNER, FULL),
    (FULL, LOST, LOST),
)
def test_possible_run_outranks_refusal(before, after, expected):
    """A refusal must not hide that another attempt may have run.

    The caller would send the request again and it could run twice. Of two
    refusals, one by an owner replaces "no candidate".
    """
    assert pick_result(Err(before), Err(after)) == Err(expected)
