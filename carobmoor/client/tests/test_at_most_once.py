"""Tests of calls sent under tickets: failed copies and new tickets."""

import asyncio
import time

from nose2.tools import params
from result import Err, Ok

from carobmoor.client._at_most_once import TicketDesk, send_once
from carobmoor.client._messages import Call
from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.tickets import Grant
from carobmoor.transport import Address, ConnectionPool

OWNER = Address('127.0.0.1', 7101)
OTHER = Address('127.0.0.1', 7102)
LOST = Err(Unknown('awaiting_answer', str(OWNER), 'connection lost'))
LOST_BEHIND = Err(Unknown('awaiting_answer', '127.0.0.1:7201'))
NOT_SENT = Err(NotRun(Code.NOT_SENT, 'connect', str(OWNER)))
FULL = Err(NotRun(Code.QUEUE_FULL, 'admission', str(OWNER)))
STALE = Err(Unknown('ticket', str(OWNER), '', Code.TICKET_REFUSED))
ANSWERED = Ok('answer')
CALL = Call('any', 'POST', '/x', request_id='request')


class Wire:
    """Returns scripted results for copies and records their tickets."""

    def __init__(self, *script):
        """Set the results, in the order of the copies."""
        self.script = list(script)
        self.tickets = []

    async def send(self, call, owner, _):
        """Record the ticket and return the next result."""
        assert call.ticket.owner == str(owner)
        self.tickets.append(call.ticket)
        return self.script.pop(0)


def desk_with_grants():
    """Return a ticket desk with a grant of both owners."""
    desk = TicketDesk(ConnectionPool())
    for owner in (OWNER, OTHER):
        desk.note_grant(Grant(str(owner), 'first', 1, 60_000, 'key'))
    return desk


def attempt(desk, wire, owner=OWNER, call=CALL):
    """Make one attempt at a call."""
    until_s = time.monotonic() + 60
    return asyncio.run(send_once(desk, call, owner, until_s, wire.send))


@params(
    ((LOST, ANSWERED), ANSWERED, 2),
    ((LOST, FULL), FULL, 2),
    ((LOST, NOT_SENT), LOST, 2),
    ((LOST, STALE), LOST, 2),
    ((LOST, LOST), LOST, 2),
    ((LOST_BEHIND,), LOST_BEHIND, 1),
    ((FULL,), FULL, 1),
    ((NOT_SENT,), NOT_SENT, 1),
)
def test_lost_copy_is_settled_by_its_owner(script, outcome, copies):
    """After a lost connection one more copy goes under the same ticket."""
    wire = Wire(*script)
    assert attempt(desk_with_grants(), wire) == outcome
    assert len(wire.tickets) == copies
    assert len(set(wire.tickets)) == 1


def test_sole_copy_under_stale_grant_goes_again():
    """A ticket refused for the only copy is replaced by a new one."""
    desk = desk_with_grants()
    wire = Wire(STALE, ANSWERED)
    desk.fetch = _fetcher(desk, 'second')
    assert attempt(desk, wire) == ANSWERED
    incarnations = [ticket.incarnation for ticket in wire.tickets]
    assert incarnations == ['first', 'second']


def test_second_call_goes_under_the_first_ticket():
    """A request id sent twice keeps its ticket, so that it runs only once."""
    desk = desk_with_grants()
    wire = Wire(LOST_BEHIND, LOST_BEHIND)
    attempt(desk, wire)
    assert attempt(desk, wire, OTHER) == LOST_BEHIND
    assert len(set(wire.tickets)) == 1


def test_refused_ticket_gives_way_to_the_next():
    """After "not run" from the owner a ticket of another owner is minted."""
    desk = desk_with_grants()
    wire = Wire(FULL, ANSWERED)
    attempt(desk, wire)
    assert attempt(desk, wire, OTHER) == ANSWERED
    assert [ticket.owner for ticket in wire.tickets] == [
        str(OWNER),
        str(OTHER),
    ]
    assert [ticket.attempt for ticket in wire.tickets] == [0, 1]


def test_copy_not_sent_proves_nothing():
    """An unsent copy proves nothing if an earlier copy may have run."""
    desk = desk_with_grants()
    attempt(desk, Wire(LOST_BEHIND))
    told = attempt(desk, Wire(NOT_SENT))
    assert isinstance(told.unwrap_err(), Unknown)


def _fetcher(desk, incarnation):
    async def fetch(owner):
        grant = Grant(str(owner), incarnation, 1, 60_000, 'key')
        desk.note_grant(grant)
        return grant

    return fetch
