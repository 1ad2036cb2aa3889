"""Random pipelined requests, split, finished and cut at random.

They guard against answers out of order, lost or incomplete ones, requests that
run without being answered, and limits that are exceeded.
"""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from carobmoor.transport.tests.fixtures import (
    LIMITS,
    PipelinedConnection,
    answer,
    get,
    post,
)

FUZZ_SETTINGS = settings(derandomize=True, max_examples=400, deadline=None)
KINDS = st.sampled_from(('get', 'post', 'get-close'))
CLOSE = 'connection: close\r\n'
MAX_STEPS = 200


def encode(kind: str, name: str) -> bytes:
    """Encode a request of a kind."""
    if kind == 'post':
        return post(name, b'body')
    return get(name, CLOSE if kind == 'get-close' else '')


def expected_answers(kinds: list[str]) -> list[bytes]:
    """Return the answers up to the first closing one."""
    answers: list[bytes] = []
    for number, kind in enumerate(kinds):
        is_closing = kind == 'get-close'
        answers.append(answer(f'/{number}', CLOSE if is_closing else ''))
        if is_closing:
            break
    return answers


def check_limits(caller: PipelinedConnection, kinds: list[str]) -> None:
    """Check what runs at the same time and that answers are in order."""
    running = caller.running
    posts = [name for name in running if kinds[int(name[1:])] == 'post']
    assert not posts or len(running) == 1
    assert len(running) <= LIMITS.max_in_progress
    expected = b''.join(expected_answers(kinds))
    assert expected.startswith(caller.transport.written)


@FUZZ_SETTINGS
@given(st.lists(KINDS, max_size=9), st.data())
def test_random_pipelines_are_answered_in_order(kinds, data_source):
    """Whatever finishes first, answers come whole and in order."""
    asyncio.run(_play(kinds, data_source))


async def _play(kinds, data_source) -> None:
    caller = PipelinedConnection()
    sent = b''.join(
        encode(kind, f'/{number}') for number, kind in enumerate(kinds)
    )
    is_cut = False
    for _ in range(MAX_STEPS):
        if not sent and not caller.running:
            break
        step = data_source.draw(st.integers(0, 30))
        if not step:
            is_cut = True
            await caller.disconnect()
            break
        if sent and (step % 2 or not caller.running):
            size_bytes = data_source.draw(st.integers(1, 120))
            await caller.receive(sent[:size_bytes])
            sent = sent[size_bytes:]
        else:
            await caller.finish(
                data_source.draw(st.sampled_from(caller.running))
            )
        check_limits(caller, kinds)
    _check_end(caller, kinds, is_cut)
    caller.close()


def _check_end(
    caller: PipelinedConnection, kinds: list[str], is_cut: bool
) -> None:
    assert not caller.listener.held.total_bytes
    if is_cut:
        assert all(
            caller.requests[name].disconnected.done() for name in caller.running
        )
        return
    assert caller.transport.written == b''.join(expected_answers(kinds))
    assert len(caller.started) == len(expected_answers(kinds))
