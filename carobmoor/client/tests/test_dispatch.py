"""Tests of retries and hedges with scripted results."""

import asyncio
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.client import Call
from carobmoor.client.tests.fixtures import (
    SERVICE,
    ScriptedDispatcher,
    asynchronous,
    failed,
    good,
    lost,
    refused,
)
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.retries import RetryPolicy, record_success

DEPOSIT = Call(SERVICE, 'POST', '/deposits')
BROWSE = Call(SERVICE, 'GET', '/today', repeatable=True)
RESULT_NAMES = st.one_of(
    st.sampled_from(('good', 'failed', 'lost')),
    st.sampled_from(Code),
)
RESULT_FACTORIES = MappingProxyType(
    {'good': good, 'failed': failed, 'lost': lost}
)
EARLY_HEDGES = RetryPolicy(hedge_quantile=0.5)


async def chunks():
    """Yield the chunks of a streamed body."""
    yield b'chunk'


def make_result(name):
    """Make the result of an attempt from a helper's name or a code."""
    return (
        RESULT_FACTORIES[name]()
        if name in RESULT_FACTORIES
        else refused(Code(name))
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(RESULT_NAMES, min_size=1, max_size=8), st.booleans(), st.booleans()
)
def test_call_that_may_have_run_is_not_resent(
    names, is_repeatable, is_streamed
):
    """A call must not run twice, and a refusal must not hide a possible run.

    A call that is not repeatable, or whose body is streamed, is not hedged,
    nor sent again after an attempt that may have run. If any attempt may
    have run, the result is never "not run".
    """
    script = [make_result(name) for name in names]
    dispatcher = ScriptedDispatcher(script)
    call = BROWSE if is_repeatable else DEPOSIT
    if is_streamed:
        call = call._replace(more_body=chunks())
    sent = asyncio.run(dispatcher.dispatch(call))
    last = len(script) - 1
    played = [script[min(index, last)] for index in range(len(dispatcher.sent))]
    may_have_run = [
        attempt_result
        for attempt_result in played
        if not _is_not_run(attempt_result)
    ]
    if not is_repeatable or is_streamed:
        assert may_have_run in ([], [played[-1]])
    assert _is_not_run(sent) is not bool(may_have_run)
    owners = [owner for _, owner in dispatcher.sent]
    assert len(set(owners)) == len(owners)


@params(
    ((refused(Code.QUEUE_FULL), good()), DEPOSIT, 2),
    ((refused(Code.NOT_SENT, 'connect'), good()), DEPOSIT, 2),
    ((refused(Code.UNKNOWN_RANK), good()), DEPOSIT, 1),
    ((refused(Code.DEADLINE_LAPSED), good()), BROWSE, 1),
    ((lost(), good()), DEPOSIT, 1),
    ((lost(), good()), BROWSE, 2),
    ((failed(), good()), DEPOSIT, 1),
    ((failed(), good()), BROWSE, 2),
    ((failed(),), BROWSE, 3),
    ((failed(),), BROWSE._replace(retries_left=0), 1),
    ((refused(Code.LEAVING),), DEPOSIT._replace(retries_left=0), 6),
    ((refused(Code.QUEUE_FULL), good()), DEPOSIT._replace(timeout_ms=0), 1),
    ((refused(Code.NOT_SENT, 'connect'), good()), 'stream', 2),
    ((refused(Code.QUEUE_FULL), good()), 'stream', 1),
)
def test_attempt_count_by_call_and_results(script, call, attempts):
    """The number of attempts depends on the call and on their results."""
    if call == 'stream':
        call = BROWSE._replace(more_body=chunks())
    dispatcher = ScriptedDispatcher(script)
    asyncio.run(dispatcher.dispatch(call))
    assert len(dispatcher.sent) == attempts


@asynchronous
async def test_retries_carry_attempt_and_retries_left():
    """Each retry carries its attempt number and one retry less."""
    dispatcher = ScriptedDispatcher((failed(),))
    await dispatcher.dispatch(BROWSE)
    carried = [(call.attempt, call.retries_left) for call, _ in dispatcher.sent]
    assert carried == [(1, 2), (2, 1), (3, 0)]
    assert len({call.request_id for call, _ in dispatcher.sent}) == 1


@params((0, 1), (1, 2), (2, 3), (5, 6))
def test_policy_limits_attempts(most_retries, attempts):
    """The policy limits the attempts of a chain of calls."""
    dispatcher = ScriptedDispatcher((failed(),))
    dispatcher.retries.replace_policy(RetryPolicy(most_retries=most_retries))
    asyncio.run(dispatcher.dispatch(BROWSE))
    assert len(dispatcher.sent) == attempts


@asynchronous
async def test_retries_stop_when_reserve_is_spent():
    """If every call fails, retries are limited to the reserve."""
    dispatcher = ScriptedDispatcher((failed(),))
    for _ in range(200):
        sent = await dispatcher.dispatch(BROWSE)
        assert sent.ok_value.head.status == 500
    assert len(dispatcher.sent) == 220


@asynchronous
async def test_unreturned_answers_are_abandoned():
    """Every answer but the returned one is abandoned."""
    scripted = [failed(), failed(), good()]
    dispatcher = ScriptedDispatcher(scripted)
    send_result = await dispatcher.dispatch(BROWSE)
    assert send_result is scripted[2]
    abandoned = [
        attempt_result.ok_value.is_abandoned for attempt_result in scripted
    ]
    assert abandoned == [True, True, False]


@asynchronous
async def test_leaving_owner_is_excluded():
    """A refusal with the code "leaving" excludes the candidate at once."""
    dispatcher = ScriptedDispatcher((refused(Code.LEAVING), good()))
    await dispatcher.dispatch(DEPOSIT)
    leaving_owner = dispatcher.sent[0][1]
    assert dispatcher.routing.find_candidate(SERVICE, leaving_owner).is_leaving
    for _ in range(50):
        await dispatcher.dispatch(DEPOSIT)
    assert leaving_owner not in [owner for _, owner in dispatcher.sent[1:]]


@asynchronous
async def test_successful_hedge_cancels_first_attempt():
    """A hedge goes to another owner; its success cancels the first attempt."""
    dispatcher = _hedging_dispatcher((None, good()))
    send_result = await dispatcher.dispatch(BROWSE)
    assert send_result.is_ok()
    first, second = dispatcher.sent
    assert first[1] != second[1]
    await asyncio.sleep(0)
    assert dispatcher.cancelled == [first[1]]
    assert not any(
        candidate.own_in_flight
        for candidate in dispatcher.routing.candidates_of(SERVICE)
    )


@params(
    (DEPOSIT,),
    (BROWSE._replace(retries_left=0),),
    (BROWSE._replace(rank='unheard-of'),),
)
def test_ineligible_call_is_not_hedged(call):
    """No hedge without repeatability, retries left or known latencies."""
    asynchronous(_assert_not_hedged)(call)


async def _assert_not_hedged(call):
    dispatcher = _hedging_dispatcher((None, good()))
    pending = asyncio.ensure_future(dispatcher.dispatch(call))
    for _ in range(20):
        await asyncio.sleep(0.001)
    assert len(dispatcher.sent) == 1
    pending.cancel()
    await asyncio.gather(pending, return_exceptions=True)
    assert dispatcher.cancelled


@asynchronous
async def test_hedges_stop_when_reserve_is_spent():
    """If every call is slow, hedges are limited to their reserve."""
    dispatcher = _hedging_dispatcher((None,))
    pending = [
        asyncio.ensure_future(dispatcher.dispatch(BROWSE)) for _ in range(50)
    ]
    for _ in range(20):
        await asyncio.sleep(0.001)
    hedged = dispatcher.retries.budget_of(SERVICE).hedges_sent
    assert len(dispatcher.sent) == 50 + hedged
    assert hedged <= 5
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    assert len(dispatcher.cancelled) == len(dispatcher.sent)


def _is_not_run(sent):
    return sent.is_err() and isinstance(sent.err_value, NotRun)


def _hedging_dispatcher(script):
    dispatcher = ScriptedDispatcher(script)
    dispatcher.retries.replace_policy(EARLY_HEDGES)
    for _ in range(100):
        record_success(dispatcher.retries, SERVICE, '', 1, 0.0001)
    return dispatcher


def test_refused_retry_keeps_unknown_outcome():
    """A refused retry after a lost attempt leaves the outcome unknown."""
    dispatcher = ScriptedDispatcher((lost(), refused(Code.UNKNOWN_RANK)))
    send_result = asyncio.run(dispatcher.dispatch(BROWSE))
    assert isinstance(send_result.err_value, Unknown)
