"""Guards against a request being reported as "not run" that runs after all.

A request may be refused before the ticket table is asked, for example because
its body stalls, while another copy of it runs or arrives later.
"""

import asyncio
import time
from types import SimpleNamespace

from carobmoor.node._ticketed_run import record_refusal, run_once
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.tickets import TicketPolicy, TicketTable, mint

NODE_ADDRESS = '127.0.0.1:7101'
REFUSAL = NotRun(Code.BODY_STALLED, 'read_request', NODE_ADDRESS)


def make_node_and_context():
    """Create a stub node and the context of a request with its ticket."""
    table = TicketTable(NODE_ADDRESS, TicketPolicy(), time.monotonic())
    node = SimpleNamespace(address=NODE_ADDRESS, tickets=table)
    return node, make_context(
        mint(table.grant(time.monotonic()), 'request', 'any', 0)
    )


def make_context(ticket):
    """Create the context of a request with a ticket."""
    return SimpleNamespace(
        request_id='request',
        service='any',
        method='POST',
        target='/x',
        is_repeatable=False,
        ticket=ticket,
    )


def make_pending_request(context):
    """Create a pending request whose body was read."""
    return SimpleNamespace(
        context=context,
        caller='caller',
        body=SimpleNamespace(is_complete=True, first_chunk=b'body'),
        add_note=lambda *_: None,
        send=None,
        remaining_s=1,
    )


async def fail_on_run(*_):
    """Fail the test, since the request must not run."""
    raise AssertionError('a refused request ran')


async def run_with_unknown_outcome(*_):
    """Return an unknown outcome, as after a lost connection."""
    return Unknown('awaiting_answer', 'there')


def test_copy_after_early_refusal_is_refused():
    """A complete copy after a stalled one gets the same refusal."""
    node, context = make_node_and_context()
    assert record_refusal(node, context, REFUSAL) == REFUSAL
    copy = make_pending_request(context)
    assert asyncio.run(run_once(node, copy, fail_on_run)) == REFUSAL
    assert record_refusal(node, context, REFUSAL) == REFUSAL


def test_copies_from_two_addresses_share_outcome():
    """Copies of a request from two addresses get one outcome."""
    node, context = make_node_and_context()
    first = make_pending_request(context)
    other = make_pending_request(context)
    other.caller = 'another address'
    unknown = asyncio.run(run_once(node, first, run_with_unknown_outcome))
    assert asyncio.run(run_once(node, other, fail_on_run)) == unknown


def test_early_refusal_after_a_run_is_unknown():
    """A refused copy does not make the one that ran "not run"."""
    node, context = make_node_and_context()
    asyncio.run(
        run_once(node, make_pending_request(context), run_with_unknown_outcome)
    )
    assert isinstance(record_refusal(node, context, REFUSAL), Unknown)


def test_ticket_of_earlier_incarnation_is_unknown():
    """A restarted owner never reports earlier tickets as "not run"."""
    _, context = make_node_and_context()
    node, _ = make_node_and_context()
    refusal = NotRun(Code.NOT_READY, 'configuration', NODE_ADDRESS)
    outcome = record_refusal(node, context, refusal)
    assert isinstance(outcome, Unknown)
    assert outcome.code is Code.TICKET_REFUSED


def test_refusal_by_non_owner_is_unknown():
    """Only the owner may report a request with a ticket as "not run"."""
    node, context = make_node_and_context()
    other_ticket = context.ticket._replace(owner='127.0.0.1:7102')
    outcome = record_refusal(node, make_context(other_ticket), REFUSAL)
    assert isinstance(outcome, Unknown)
