"""Tests of publishing: conflicts, lost answers, resubmission, history."""

import asyncio

from nose2.tools import params
from result import Ok

from carobmoor.configuration._publish import (
    Conflict,
    OutcomeUnknown,
    load_version,
    publish,
)
from carobmoor.configuration._store import read_history
from carobmoor.configuration.tests.fixtures import (
    document,
    submission,
    without_read_back_waits,
)
from carobmoor.store import StoreFailure
from carobmoor.store.tests.fixtures import FakeStore, script_outcomes

# Outcomes of the calls before the write of the head: the read of the head, and
# the writes of the document, the manifest and three pieces.
OK_UNTIL_HEAD_WRITE = ('ok', 'ok', 'ok', 'ok', 'ok', 'ok')


def run(coroutine):
    """Run without waits between attempts."""
    with without_read_back_waits():
        return asyncio.run(coroutine)


async def publish_all(store, *submissions):
    """Publish the submissions in order and return the last outcome."""
    for each in submissions:
        outcome = await publish(store, each)
    return outcome


def history(store):
    """Return the accepted versions, oldest first."""
    return run(read_history(store)).unwrap()


def test_accepted_versions_are_consecutive():
    """Each accepted submission becomes the next version in the history."""
    store = FakeStore()
    run(publish_all(store, submission(0, 'a'), submission(1, 'b', 12)))
    assert [head.version for head in history(store)] == [1, 2]
    assert [head.submission_id for head in history(store)] == ['a', 'b']


def test_conflict_lists_changed_fields():
    """A conflict has the current head and the fields changed since the base."""
    store = FakeStore()
    outcome = run(
        publish_all(
            store,
            submission(0, 'a', 9),
            submission(1, 'b', 12),
            submission(1, 'c', 15),
        ),
    )
    conflict = outcome.unwrap_err()
    assert isinstance(conflict, Conflict)
    assert conflict.current.version == 2
    lines = [str(each) for each in conflict.differences]
    assert lines == ['$.services.bookings.slots: 9 -> 12']


@params(
    # The read of the head fails, so nothing is written.
    (('down',), StoreFailure),
    # The answer to the write of the head is lost; reading back works.
    ((*OK_UNTIL_HEAD_WRITE, 'lost'), Ok),
    # The answer is lost, and every attempt to read back fails.
    (
        (*OK_UNTIL_HEAD_WRITE, 'lost', 'down', 'down', 'down', 'down'),
        OutcomeUnknown,
    ),
)
def test_lost_answer_accepts_submission_once(outcomes, expected):
    """A submission whose answer is lost is accepted once.

    Its outcome is read back or reported as unknown; a resubmission then
    returns the accepted version.
    """
    store = FakeStore()
    store.before_call = script_outcomes(*outcomes)
    first = run(publish(store, submission(0, 'a')))
    reported = first if first.is_ok() else first.unwrap_err()
    assert isinstance(reported, expected)
    again = run(publish(store, submission(0, 'a')))
    assert again.unwrap().head.version == 1
    assert len(history(store)) == 1


def test_resubmission_is_accepted_once():
    """A submission id that was accepted earlier is found in the history."""
    store = FakeStore()
    again = run(
        publish_all(
            store,
            submission(0, 'a'),
            submission(1, 'b', 12),
            submission(0, 'a'),
        ),
    )
    assert again.unwrap().head.version == 1
    assert len(history(store)) == 2


def test_missing_history_row_is_restored():
    """A history row is not lost if its writer died before writing it.

    The head stands in for it, and the next writer adds the row.
    """
    store = FakeStore()
    run(publish(store, submission(0, 'a')))
    store.rows.pop('configuration/version-000000001')
    assert [head.submission_id for head in history(store)] == ['a']
    run(publish(store, submission(1, 'b', 12)))
    assert [head.submission_id for head in history(store)] == ['a', 'b']


def test_earlier_document_can_be_loaded():
    """The whole document of an earlier version can be loaded."""
    store = FakeStore()
    run(publish_all(store, submission(0, 'a', 9), submission(1, 'b', 12)))
    assert run(load_version(store, 1)).unwrap() == document(9)
    assert run(load_version(store, 2)).unwrap() == document(12)
    assert run(load_version(store, 3)).unwrap() is None
