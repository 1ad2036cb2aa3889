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
    no_waits,
    submission,
)
from carobmoor.store import StoreFailure
from carobmoor.store.tests.fixtures import FakePlatform, scripted

# Outcomes of the calls before the write of the head: the read of the head, and
# the writes of the document, the manifest and three pieces.
ALL_BEFORE_THE_HEAD = ('ok', 'ok', 'ok', 'ok', 'ok', 'ok')


def run(coroutine):
    """Run without waits between attempts."""
    with no_waits():
        return asyncio.run(coroutine)


async def published(platform, *submissions):
    """Publish the submissions in order and return the last outcome."""
    for each in submissions:
        outcome = await publish(platform, each)
    return outcome


def history(platform):
    """Return the accepted versions, oldest first."""
    return run(read_history(platform)).unwrap()


def test_versions_follow_each_other():
    """Each accepted submission becomes the next version in the history."""
    platform = FakePlatform()
    run(published(platform, submission(0, 'a'), submission(1, 'b', 12)))
    assert [head.version for head in history(platform)] == [1, 2]
    assert [head.submission_id for head in history(platform)] == ['a', 'b']


def test_conflict_tells_what_differs():
    """A conflict has the current head and the fields changed since the base."""
    platform = FakePlatform()
    lost = run(
        published(
            platform,
            submission(0, 'a', 9),
            submission(1, 'b', 12),
            submission(1, 'c', 15),
        ),
    )
    conflict = lost.unwrap_err()
    assert isinstance(conflict, Conflict)
    assert conflict.current.version == 2
    told = [str(each) for each in conflict.differences]
    assert told == ['$.services.bookings.slots: 9 -> 12']


@params(
    # The read of the head fails, so nothing is written.
    (('down',), StoreFailure),
    # The answer to the write of the head is lost; reading back works.
    ((*ALL_BEFORE_THE_HEAD, 'lost'), Ok),
    # The answer is lost, and every attempt to read back fails.
    (
        (*ALL_BEFORE_THE_HEAD, 'lost', 'down', 'down', 'down', 'down'),
        OutcomeUnknown,
    ),
)
def test_lost_answers(outcomes, expected):
    """A submission whose answer is lost is accepted once.

    Its outcome is read back or reported as unknown; a resubmission then
    returns the accepted version.
    """
    platform = FakePlatform()
    platform.before = scripted(*outcomes)
    first = run(publish(platform, submission(0, 'a')))
    told = first if first.is_ok() else first.unwrap_err()
    assert isinstance(told, expected)
    again = run(publish(platform, submission(0, 'a')))
    assert again.unwrap().head.version == 1
    assert len(history(platform)) == 1


def test_resubmission_is_accepted_once():
    """A submission id that was accepted earlier is found in the history."""
    platform = FakePlatform()
    again = run(
        published(
            platform,
            submission(0, 'a'),
            submission(1, 'b', 12),
            submission(0, 'a'),
        ),
    )
    assert again.unwrap().head.version == 1
    assert len(history(platform)) == 2


def test_history_survives_death_of_the_writer():
    """A history row is not lost if its writer died before writing it.

    The head stands in for it, and the next writer adds the row.
    """
    platform = FakePlatform()
    run(publish(platform, submission(0, 'a')))
    platform.rows.pop('configuration/version-000000001')
    assert [head.submission_id for head in history(platform)] == ['a']
    run(publish(platform, submission(1, 'b', 12)))
    assert [head.submission_id for head in history(platform)] == ['a', 'b']


def test_earlier_content_can_be_loaded():
    """The whole document of an earlier version can be loaded."""
    platform = FakePlatform()
    run(published(platform, submission(0, 'a', 9), submission(1, 'b', 12)))
    assert run(load_version(platform, 1)).unwrap() == document(9)
    assert run(load_version(platform, 2)).unwrap() == document(12)
    assert run(load_version(platform, 3)).unwrap() is None
