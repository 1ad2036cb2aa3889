"""Fixtures for the tests of routing."""

import random

from carobmoor.routing import (
    CallOutcome,
    CallResult,
    Candidate,
    LoadReport,
    RoutingPolicy,
    RoutingState,
    record_call_end,
    record_call_start,
    replace_candidates,
)
from carobmoor.transport import Address

SERVICE = 'bookings'
HEALTHY_REPORT = LoadReport(9, 0, 0, 5000, is_leaving=False)


def address(number: int) -> Address:
    """Return the address of a candidate."""
    return Address('10.0.0.1', number)


def state_of(letters: str, policy: RoutingPolicy | None = None) -> RoutingState:
    """Return a state with one candidate for each letter.

    `h` is in the same availability zone, `r` in another zone of the same
    region, `f` in another region.
    """
    state = RoutingState('lagos', 'lagos-a', policy or RoutingPolicy())
    location_by_letter = {
        'h': ('lagos', 'lagos-a'),
        'r': ('lagos', 'lagos-b'),
        'f': ('abuja', 'abuja-a'),
    }
    candidates = [
        Candidate(address(number), *location_by_letter[letter])
        for number, letter in enumerate(letters)
    ]
    replace_candidates(state, SERVICE, candidates)
    return state


def end_call(
    state: RoutingState,
    number: int,
    outcome: CallOutcome,
    now_s: float,
    latency_s: float = 0.01,
) -> None:
    """Record the start and the end of one call to a candidate."""
    candidate = state.find_candidate(SERVICE, address(number))
    call_number = record_call_start(state, candidate, now_s - latency_s)
    record_call_end(
        state, SERVICE, candidate, call_number, CallResult(outcome), now_s
    )


def seeded_random() -> random.Random:
    """Return a random source that is the same in every run."""
    return random.Random(7)
