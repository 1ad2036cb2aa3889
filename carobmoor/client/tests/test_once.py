"""What the failure of a copy means, and when a new ticket is minted."""

import asyncio
import time

from nose2.tools import params
from result import Err, Ok

from carobmoor.client._messages import Call
from carobmoor.client._once import TicketDesk, send_once
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
    """Answers copies from a script and keeps the tickets they carried."""

    def __init__(self, *script):
        """Take the outcomes in their order."""
        self.script = list(script)
        self.tickets = []

    async def send(self, call, owner, _):
        """Give the next outcome."""
        assert call.ticket.owner == str(owner)
        self.tickets.append(call.ticket)
        return self.script.pop(0)


def desk_with_grants():
    """Make a desk that holds a grant of both owners."""
    desk = TicketDesk(ConnectionPool())
    for owner in (OWNER, OTHER):
        desk.note_grant(Grant(str(owner), 'first', 1, 60_000, 'key'))
    return desk


def attempt(desk, wire, owner=OWNER, call=CALL):
    """Make one attempt."""
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
    """A lost connection is asked about once, under the same ticket."""
    wire = Wire(*script)
    assert attempt(desk_with_grants(), wire) == outcome
    assert len(wire.tickets) == copies
    assert len(set(wire.tickets)) == 1


def test_sole_copy_under_stale_grant_goes_again():
    """The only copy was refused, so the library may mint again."""
    desk = desk_with_grants()
    wire = Wire(STALE, ANSWERED)
    desk.fetch = _fetcher(desk, 'second')
    assert attempt(desk, wire) == ANSWERED
    incarnations = [ticket.incarnation for ticket in wire.tickets]
    assert incarnations == ['first', 'second']


def test_second_call_goes_under_the_first_ticket():
    """An application that sends an id twice gets one run's outcome."""
    desk = desk_with_grants()
    wire = Wire(LOST_BEHIND, LOST_BEHIND)
    attempt(desk, wire)
    assert attempt(desk, wire, OTHER) == LOST_BEHIND
    assert len(set(wire.tickets)) == 1


def test_refused_ticket_gives_way_to_the_next():
    """After the owner's "not run" another owner gets a ticket."""
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
    """Only when no byte of any copy was written did it surely not run."""
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
