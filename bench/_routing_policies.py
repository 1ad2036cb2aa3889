"""The routing policy of carobmoor and the baseline policies."""

import random
from collections import Counter
from collections.abc import Callable

from bench._routing_simulation import Fault, Policy, SimulatedService
from carobmoor.routing import (
    DEFAULT_ROUTING_POLICY,
    CallOutcome,
    CallResult,
    Candidate,
    ChoiceQuery,
    LoadReport,
    ProbeBudget,
    RoutingState,
    charge_probe,
    choose,
    next_probe,
    record_call_end,
    record_call_start,
    record_report,
    replace_candidates,
)
from carobmoor.transport import Address

_SERVICE = 'bookings'
_PROBE_BYTES = 400
_PROBE_CORE_S = 0.0003
_QUERY = ChoiceQuery(is_repeatable=True)

PolicyFactory = Callable[[SimulatedService, Fault, int], Policy]


def _ignore_result(*_: object) -> None:
    """Ignore the result of a call."""


def make_random(service: SimulatedService, fault: Fault, seed: int) -> Policy:
    """Return a policy that chooses at random."""
    rng = random.Random(seed)
    return Policy(
        lambda *_: rng.randrange(service.server_count), _ignore_result
    )


def make_round_robin(
    service: SimulatedService, fault: Fault, seed: int
) -> Policy:
    """Return a round-robin policy; each caller has its own turn."""
    turns: Counter[int] = Counter()

    def choose_next(caller: int, now_s: float) -> int:
        turns[caller] += 1
        return (caller + turns[caller]) % service.server_count

    return Policy(choose_next, _ignore_result)


def make_health_checked(
    service: SimulatedService, fault: Fault, seed: int
) -> Policy:
    """Return a round-robin policy that skips servers reported as dead.

    It believes the health endpoint of the faulty server, which may be wrong.
    """
    inner = make_round_robin(service, fault, seed)

    def choose_healthy(caller: int, now_s: float) -> int:
        chosen = inner.choose(caller, now_s)
        while chosen == fault.server and _is_reported_dead(fault, now_s):
            chosen = inner.choose(caller, now_s)
        return chosen

    return Policy(choose_healthy, _ignore_result)


def make_least_in_flight(
    service: SimulatedService, fault: Fault, seed: int
) -> Policy:
    """Return a policy that takes the server with the fewest own calls."""
    rng = random.Random(seed)
    in_flight: Counter[tuple[int, int]] = Counter()

    def choose_least(caller: int, now_s: float) -> int:
        all_servers = range(service.server_count)
        chosen = min(
            all_servers,
            key=lambda server: (in_flight[caller, server], rng.random()),
        )
        in_flight[caller, chosen] += 1
        return chosen

    def record_end(caller: int, server: int, *_: object) -> None:
        in_flight[caller, server] -= 1

    return Policy(choose_least, record_end)


def make_carobmoor(
    service: SimulatedService, fault: Fault, seed: int
) -> Policy:
    """Return the policy of carobmoor; each caller has its own state."""
    rng = random.Random(seed)
    states = [_make_state(service) for _ in range(service.caller_count)]
    call_numbers: dict[tuple[int, int], list[int]] = {}

    def choose_owner(caller: int, now_s: float) -> int:
        state = states[caller]
        candidate = choose(state, _SERVICE, _QUERY, now_s, rng)
        assert candidate is not None
        number = record_call_start(state, candidate, now_s)
        server = candidate.address.port
        call_numbers.setdefault((caller, server), []).append(number)
        return server

    def record_end(
        caller: int,
        server: int,
        succeeded: bool,
        report: LoadReport,
        now_s: float,
    ) -> None:
        state = states[caller]
        candidate = state.find_candidate(_SERVICE, Address('', server))
        assert candidate is not None
        number = call_numbers[caller, server].pop(0)
        outcome = CallOutcome.SUCCEEDED if succeeded else CallOutcome.FAILED
        is_unreachable = fault.kind == 'dead' and not succeeded
        if is_unreachable:
            outcome = CallOutcome.UNREACHABLE
        else:
            record_report(state, _SERVICE, candidate, report, now_s)
        call_end = CallResult(outcome)
        record_call_end(state, _SERVICE, candidate, number, call_end, now_s)

    budgets = [ProbeBudget(DEFAULT_ROUTING_POLICY) for _ in states]

    def choose_probe_target(caller: int, now_s: float) -> int:
        due_probe = next_probe(states[caller], budgets[caller], now_s)
        if due_probe is None:
            return -1
        due_probe[1].probed_at_s = now_s
        charge_probe(
            states[caller], budgets[caller], _PROBE_BYTES, _PROBE_CORE_S
        )
        return due_probe[1].address.port

    def record_probe(
        caller: int,
        server: int,
        report: LoadReport,
        now_s: float,
    ) -> None:
        candidate = states[caller].find_candidate(_SERVICE, Address('', server))
        assert candidate is not None
        record_report(states[caller], _SERVICE, candidate, report, now_s)

    return Policy(choose_owner, record_end, choose_probe_target, record_probe)


def _make_state(service: SimulatedService) -> RoutingState:
    state = RoutingState('', '')
    candidates = [
        Candidate(Address('', server), '', '')
        for server in range(service.server_count)
    ]
    replace_candidates(state, _SERVICE, candidates)
    return state


def _is_reported_dead(fault: Fault, now_s: float) -> bool:
    if fault.health == 'dead':
        return now_s >= fault.from_s
    is_failing = fault.kind in {'dead', 'fails'}
    is_detected = fault.health == 'honest' and is_failing
    return is_detected and fault.from_s <= now_s < fault.until_s
