"""The choice of carobmoor and the baselines it is measured against."""

import random
from collections import Counter
from collections.abc import Callable

from bench._fleet import Fault, Fleet, Policy
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
_PROBE_S = 0.0003
_QUERY = ChoiceQuery(is_repeatable=True)

MakePolicy = Callable[[Fleet, Fault, int], Policy]


def _ignore(*_: object) -> None:
    """Learn nothing."""


def make_random(fleet: Fleet, fault: Fault, seed: int) -> Policy:
    """Choose at random."""
    rng = random.Random(seed)
    return Policy(lambda *_: rng.randrange(fleet.servers), _ignore)


def make_round_robin(fleet: Fleet, fault: Fault, seed: int) -> Policy:
    """Choose in turn, each caller for itself."""
    turn: Counter[int] = Counter()

    def choose_next(caller: int, now_s: float) -> int:
        turn[caller] += 1
        return (caller + turn[caller]) % fleet.servers

    return Policy(choose_next, _ignore)


def make_health_checked(fleet: Fleet, fault: Fault, seed: int) -> Policy:
    """Choose in turn among those whose health endpoint says "fine"."""
    inner = make_round_robin(fleet, fault, seed)

    def choose_healthy(caller: int, now_s: float) -> int:
        chosen = inner.choose(caller, now_s)
        while chosen == fault.server and _says_dead(fault, now_s):
            chosen = inner.choose(caller, now_s)
        return chosen

    return Policy(choose_healthy, _ignore)


def make_least_in_flight(fleet: Fleet, fault: Fault, seed: int) -> Policy:
    """Choose the server with the fewest own calls in flight."""
    rng = random.Random(seed)
    in_flight: Counter[tuple[int, int]] = Counter()

    def choose_least(caller: int, now_s: float) -> int:
        servers = range(fleet.servers)
        chosen = min(
            servers, key=lambda one: (in_flight[caller, one], rng.random())
        )
        in_flight[caller, chosen] += 1
        return chosen

    def ended(caller: int, server: int, *_: object) -> None:
        in_flight[caller, server] -= 1

    return Policy(choose_least, ended)


def make_carobmoor(fleet: Fleet, fault: Fault, seed: int) -> Policy:
    """Choose as carobmoor does, each caller with a state of its own."""
    rng = random.Random(seed)
    states = [_state_of(fleet) for _ in range(fleet.callers)]
    numbers: dict[tuple[int, int], list[int]] = {}

    def choose_owner(caller: int, now_s: float) -> int:
        state = states[caller]
        known = choose(state, _SERVICE, _QUERY, now_s, rng)
        assert known is not None
        number = record_call_start(state, known, now_s)
        server = known.address.port
        numbers.setdefault((caller, server), []).append(number)
        return server

    def ended(
        caller: int,
        server: int,
        succeeded: bool,
        report: LoadReport,
        now_s: float,
    ) -> None:
        state = states[caller]
        known = state.find_candidate(_SERVICE, Address('', server))
        assert known is not None
        number = numbers[caller, server].pop(0)
        outcome = CallOutcome.SUCCEEDED if succeeded else CallOutcome.FAILED
        dead = fault.kind == 'dead' and not succeeded
        if dead:
            outcome = CallOutcome.UNREACHABLE
        else:
            record_report(state, _SERVICE, known, report, now_s)
        end = CallResult(outcome)
        record_call_end(state, _SERVICE, known, number, end, now_s)

    budgets = [ProbeBudget(DEFAULT_ROUTING_POLICY) for _ in states]

    def probe(caller: int, now_s: float) -> int:
        found = next_probe(states[caller], budgets[caller], now_s)
        if found is None:
            return -1
        found[1].probed_at_s = now_s
        charge_probe(states[caller], budgets[caller], _PROBE_BYTES, _PROBE_S)
        return found[1].address.port

    def probed(
        caller: int,
        server: int,
        report: LoadReport,
        now_s: float,
    ) -> None:
        known = states[caller].find_candidate(_SERVICE, Address('', server))
        assert known is not None
        record_report(states[caller], _SERVICE, known, report, now_s)

    return Policy(choose_owner, ended, probe, probed)


def _state_of(fleet: Fleet) -> RoutingState:
    state = RoutingState('', '')
    candidates = [
        Candidate(Address('', server), '', '')
        for server in range(fleet.servers)
    ]
    replace_candidates(state, _SERVICE, candidates)
    return state


def _says_dead(fault: Fault, now_s: float) -> bool:
    if fault.health == 'dead':
        return now_s >= fault.from_s
    failing = fault.kind in {'dead', 'fails'}
    honest = fault.health == 'honest' and failing
    return honest and fault.from_s <= now_s < fault.until_s
