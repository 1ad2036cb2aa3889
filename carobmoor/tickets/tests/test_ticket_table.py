"""Tests that a request starts at most once.

Duplicate, late and lost copies, restarts of the owner and a full decision
table must not start a request twice.
"""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from carobmoor.outcomes import Code, NotRun, Unknown
from carobmoor.tickets import (
    PresentedRequest,
    Start,
    StoredAnswer,
    TicketPolicy,
    TicketTable,
    Told,
    admit,
    mint,
    record_outcome,
)

POLICY = TicketPolicy(
    epoch_ms=1000,
    lifetime_epochs=3,
    max_decisions=4,
    max_answer_bytes=64,
    max_stored_answers_bytes=100,
)
REQUEST_IDS = tuple(f'request-{number}' for number in range(6))
# Mostly short; the longest one ends every epoch.
STEP_DURATIONS_MS = (100, 100, 100, 100, 400, 400, 700, 1100, 10_000)
ANSWERS = (
    StoredAnswer(200, (), b'small'),
    StoredAnswer(200, (), bytes(60)),
    None,
    NotRun(Code.QUEUE_FULL, 'admission', 'here'),
    Unknown('awaiting_answer', 'there'),
)


class TicketMachine(RuleBasedStateMachine):
    """An owner and its senders; any ticket ever minted may arrive again."""

    def __init__(self):
        """Start an owner and mint one ticket for each request."""
        super().__init__()
        self.now_s = float(0)
        self.table = TicketTable('here', POLICY, self.now_s)
        self.grant = self.table.grant(self.now_s)
        self.last_sent = {}
        self.sent = []
        self.running = []
        self.starts = Counter()
        self.refused = {}
        for request_id in REQUEST_IDS:
            self.mint(request_id, 0)

    @rule(positions=st.lists(st.integers(0, 30), min_size=1, max_size=8))
    def deliver(self, positions):
        """Deliver copies in order, late, repeatedly or never."""
        for position in positions:
            request_id, ticket = self.sent[-1 - position % len(self.sent)]
            presented = PresentedRequest(request_id, 'any', 'digest')
            verdict = admit(self.table, ticket, presented, self.now_s)
            if isinstance(verdict, Start):
                self.start(request_id, ticket, verdict.decision)
            elif isinstance(verdict, Told):
                self.receive_outcome(request_id, ticket, verdict.outcome)

    @rule(
        position=st.integers(0, 30),
        outcome=st.sampled_from(ANSWERS),
        duration_ms=st.sampled_from(STEP_DURATIONS_MS),
    )
    def complete(self, position, outcome, duration_ms):
        """Advance the clock and end one of the running requests."""
        self.now_s += duration_ms / 1000
        if not self.running:
            return
        ended = self.running.pop(position % len(self.running))
        request_id, ticket, decision = ended
        if isinstance(outcome, NotRun):
            self.starts[request_id] -= 1
            self.receive_outcome(request_id, ticket, outcome)
        record_outcome(self.table, decision, outcome)

    @rule(is_stale=st.booleans(), position=st.integers(0, len(REQUEST_IDS) - 1))
    def mint_for_new_request(self, is_stale, position):
        """Mint a ticket for a new request, perhaps from a stale grant."""
        if not is_stale:
            self.grant = self.table.grant(self.now_s)
        self.mint(f'{REQUEST_IDS[position]}-{len(self.sent)}', 0)

    @rule(chance=st.integers(0, 9))
    def restart(self, chance):
        """Restart the owner, losing its state and running requests."""
        if chance:
            return
        self.table = TicketTable('here', POLICY, self.now_s)
        self.running = []

    def mint(self, request_id, attempt):
        """Mint a ticket, for delivery by a later step."""
        ticket = mint(self.grant, request_id, 'any', attempt)
        self.last_sent[request_id] = ticket
        self.sent.append((request_id, ticket))

    def start(self, request_id, ticket, decision):
        """Record a start; a refused ticket must not start."""
        refused = self.refused.get(request_id, -1)
        assert ticket.attempt > refused, 'request started with a refused ticket'
        self.starts[request_id] += 1
        self.running.append((request_id, ticket, decision))

    def receive_outcome(self, request_id, ticket, outcome):
        """Deliver an outcome; after "not run" the sender mints again."""
        if not isinstance(outcome, NotRun):
            return
        assert not self.starts[request_id], (
            'owner reported a started request as not run'
        )
        refused = self.refused.get(request_id, -1)
        self.refused[request_id] = max(refused, ticket.attempt)
        if ticket == self.last_sent[request_id]:
            self.grant = self.table.grant(self.now_s)
            self.mint(request_id, ticket.attempt + 1)

    @invariant()
    def starts_at_most_once(self):
        """Check that no request was started twice."""
        assert all(count <= 1 for count in self.starts.values())

    @invariant()
    def memory_is_bounded(self):
        """Check that decisions and stored answers stay within the policy."""
        assert len(self.table.decisions) <= POLICY.max_decisions
        assert (
            0
            <= self.table.stored_answers_bytes
            <= POLICY.max_stored_answers_bytes
        )
        assert len(self.table.epochs) <= 2 * (POLICY.lifetime_epochs + 1)


def test_tickets_start_at_most_once():
    """Generated sequences of steps preserve the invariants."""
    machine = TicketMachine.TestCase
    machine.settings = settings(
        derandomize=True,
        database=None,
        max_examples=200,
        stateful_step_count=60,
        deadline=None,
    )
    machine().runTest()


def table_and_grant():
    """Return a table and a grant of its first epoch."""
    table = TicketTable('here', POLICY, 0)
    return table, table.grant(0)


@params(
    ('other service', PresentedRequest('a', 'other', 'digest')),
    ('other request id', PresentedRequest('b', 'any', 'digest')),
)
def test_ticket_of_other_request_is_refused(_, presented):
    """A ticket minted for one request is refused for another."""
    table, grant = table_and_grant()
    verdict = admit(table, mint(grant, 'a', 'any', 0), presented, 0)
    assert verdict.outcome.code is Code.TICKET_REFUSED
    assert isinstance(verdict.outcome, Unknown)


def test_forged_ticket_of_later_epoch_is_refused():
    """A ticket forged for a later epoch fails; only the owner has its key."""
    table, grant = table_and_grant()
    forged = mint(grant._replace(epoch=2), 'a', 'any', 0)
    verdict = admit(table, forged, PresentedRequest('a', 'any', 'digest'), 1.5)
    assert verdict.outcome.code is Code.TICKET_REFUSED


def test_other_body_with_same_id_conflicts():
    """A stored answer is never returned for a different body."""
    table, grant = table_and_grant()
    ticket = mint(grant, 'a', 'any', 0)
    started = admit(table, ticket, PresentedRequest('a', 'any', 'digest'), 0)
    record_outcome(table, started.decision, ANSWERS[0])
    same = admit(table, ticket, PresentedRequest('a', 'any', 'digest'), 0)
    other = admit(table, ticket, PresentedRequest('a', 'any', 'else'), 0)
    assert same.outcome == ANSWERS[0]
    assert other.outcome.code is Code.CONFLICT
    assert isinstance(other.outcome, Unknown)


@params(('', True), ('body', True), ('else', False))
def test_unknown_body_digest_matches_any(digest, is_same):
    """Bodies are only compared if both digests are known.

    The digest of a streamed body is not available.
    """
    table, grant = table_and_grant()
    ticket = mint(grant, 'a', 'any', 0)
    first = PresentedRequest('a', 'any', 'digest', 'body')
    record_outcome(table, admit(table, ticket, first, 0).decision, ANSWERS[0])
    copy = PresentedRequest('a', 'any', 'digest', digest)
    outcome = admit(table, ticket, copy, 0).outcome
    assert isinstance(outcome, StoredAnswer) == is_same


def test_too_large_answer_gives_already_run():
    """A copy gets "already run" if the answer was too large to store."""
    table, grant = table_and_grant()
    ticket = mint(grant, 'a', 'any', 0)
    presented = PresentedRequest('a', 'any', 'digest')
    record_outcome(table, admit(table, ticket, presented, 0).decision, None)
    assert admit(table, ticket, presented, 0).outcome.code is Code.ALREADY_RUN


def test_full_table_closes_current_epoch():
    """A ticket refused by a full table stays refused once there is space."""
    table, grant = table_and_grant()
    for number in range(POLICY.max_decisions):
        name = f'early-{number}'
        ticket = mint(grant, name, 'any', 0)
        record_outcome(
            table,
            admit(table, ticket, PresentedRequest(name, 'any', ''), 0).decision,
            None,
        )
    late = mint(grant, 'late', 'any', 0)
    presented = PresentedRequest('late', 'any', '')
    assert isinstance(admit(table, late, presented, 0).outcome, NotRun)
    table.decisions.pop('early-0')
    assert isinstance(admit(table, late, presented, 0).outcome, NotRun)
    again = mint(table.grant(0), 'late', 'any', 1)
    assert isinstance(admit(table, again, presented, 0), Start)
