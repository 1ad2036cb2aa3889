"""Fixtures for the tests of routing."""

import random

from carobmoor.routing import (
    CallEnd,
    Candidate,
    LoadReport,
    Outcome,
    RoutingPolicy,
    RoutingState,
    call_ended,
    call_started,
    keep_candidates,
)
from carobmoor.transport import Address

SERVICE = 'bookings'
WELL = LoadReport(9, 0, 0, 5000, is_leaving=False)


def address(number: int) -> Address:
    """Return the address of a candidate."""
    return Address('10.0.0.1', number)


def state_of(places: str, policy: RoutingPolicy | None = None) -> RoutingState:
    """Return a state with one candidate for each letter.

    `h` is in the same availability zone, `r` in another zone of the same
    region, `f` in another region.
    """
    state = RoutingState('lagos', 'lagos-a', policy or RoutingPolicy())
    where = {
        'h': ('lagos', 'lagos-a'),
        'r': ('lagos', 'lagos-b'),
        'f': ('abuja', 'abuja-a'),
    }
    candidates = [
        Candidate(address(number), *where[place])
        for number, place in enumerate(places)
    ]
    keep_candidates(state, SERVICE, candidates)
    return state


def end_call(
    state: RoutingState,
    number: int,
    outcome: Outcome,
    now_s: float,
    latency_s: float = 0.01,
) -> None:
    """Record the start and the end of one call to a candidate."""
    known = state.find(SERVICE, address(number))
    call = call_started(state, known, now_s - latency_s)
    call_ended(state, SERVICE, known, call, CallEnd(outcome), now_s)


def seeded() -> random.Random:
    """Return a random source that is the same in every run."""
    return random.Random(7)
