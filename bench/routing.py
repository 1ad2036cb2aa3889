"""Routing under stragglers, fast failures and stale reports.

The decisions of `carobmoor.routing` run in a simulation, beside baselines; then
stragglers and fast failures are tried on real processes.
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Mapping, Sequence
from types import MappingProxyType

from bench._fleet import Done, Fault, Fleet, Run
from bench._policies import (
    MakePolicy,
    make_carobmoor,
    make_health_checked,
    make_least_in_flight,
    make_random,
    make_round_robin,
)
from bench._trials import try_on_processes
from carobmoor.routing import LoadReport

_POLICIES = MappingProxyType(
    {
        'carobmoor': make_carobmoor,
        'least in flight': make_least_in_flight,
        'round robin': make_round_robin,
        'random': make_random,
        'health checked': make_health_checked,
    },
)
_FAULT_S = 10
_WELL_S = 20
_MS_PER_S = 1000
_P99 = 0.99
_ROUNDS = 5
_CHOICES = 5000
_CHOICES_PER_S = 200
_US_PER_S = 1_000_000

_FLEETS = MappingProxyType(
    {
        '20 callers': Fleet(),
        '20 callers, reports 500 ms old': Fleet(report_lag_s=0.5),
        '120 callers': Fleet(callers=120),
        '20 callers, even service times': Fleet(spread=False),
    },
)


def measure_routing(seeds: int = 3, trials: bool = True) -> None:
    """Print the figures of routing under each fault.

    Args:
        seeds: Runs of each case; the figures are medians over them, the worst
            of them or both.
        trials: Whether to try the faults on real processes too.
    """
    _say('simulated clock, six servers, nine slots, 1,200 calls/s')
    policies = _POLICIES
    for title, fleet in _FLEETS.items():
        _say(f'-- {title}')
        _straggler_table(fleet, policies, seeds)
        _failing_table(fleet, policies, seeds)
        # The baselines use no reports and do not know of other callers, so
        # they run only on the first fleet.
        policies = MappingProxyType({'carobmoor': make_carobmoor})
    _say('-- misleading health endpoints')
    _health_table(Fleet(), seeds)
    _cost_of_choice()
    if trials:
        _say('-- trials on real processes: six servers, one caller')
        _say('fault              way         p50 ms   p99 ms  share %  failed')
        asyncio.run(try_on_processes(_say))


def _straggler_table(
    fleet: Fleet,
    policies: Mapping[str, MakePolicy],
    seeds: int,
) -> None:
    _say('10x straggler    p99 ms without   with   ratio (worst seed)')
    slow = Fault('slow', from_s=_FAULT_S)
    for name, make in policies.items():
        well = [_p99(_run(fleet, Fault(), make, one)) for one in range(seeds)]
        hit = [_p99(_run(fleet, slow, make, one)) for one in range(seeds)]
        ratios = [bad / good for bad, good in zip(hit, well, strict=True)]
        times = f'{_median_ms(well):>14.1f}{_median_ms(hit):>8.1f}'
        ratio = f'{statistics.median(ratios):>7.2f} ({max(ratios):.2f})'
        _say(f'{name:<17}{times}{ratio}')


def _failing_table(
    fleet: Fleet,
    policies: Mapping[str, MakePolicy],
    seeds: int,
) -> None:
    _say('fails fast       % of calls after 1 s (worst)   used again after s')
    fault = Fault('fails', from_s=_FAULT_S, until_s=_WELL_S)
    for name, make in policies.items():
        runs = [_run(fleet, fault, make, one) for one in range(seeds)]
        shares = [_share(run, _FAULT_S + 1, _WELL_S) for run in runs]
        back = max(_back_after_s(run, fleet) for run in runs)
        share = f'{statistics.median(shares):>10.2f} ({max(shares):.2f})'
        _say(f'{name:<17}{share}{back:>24.1f}')


def _health_table(fleet: Fleet, seeds: int) -> None:
    _say('dead, "fine"     % of calls after 1 s; then fine, "dead": % of calls')
    dead = Fault('dead', from_s=_FAULT_S, until_s=_WELL_S, health='ok')
    fine = Fault('none', from_s=_FAULT_S, health='dead')
    for name, make in _POLICIES.items():
        lost = [
            _share(_run(fleet, dead, make, one), _FAULT_S + 1, _WELL_S)
            for one in range(seeds)
        ]
        kept = [
            _share(_run(fleet, fine, make, one), _FAULT_S + 1, _WELL_S)
            for one in range(seeds)
        ]
        worst = f'{max(lost):>20.2f}{min(kept):>32.2f}'
        _say(f'{name:<17}{worst}')


def _run(
    fleet: Fleet,
    fault: Fault,
    make: MakePolicy,
    seed: int,
) -> Sequence[Done]:
    return Run(fleet, fault, make(fleet, fault, seed), seed).run()


def _p99(done: Sequence[Done]) -> float:
    """Return the p99 latency of the calls started since the fault began."""
    times = sorted(
        one.ended_s - one.started_s for one in done if one.started_s >= _FAULT_S
    )
    return times[int(len(times) * _P99)]


def _share(done: Sequence[Done], from_s: float, until_s: float) -> float:
    """Return the percentage of the calls that the faulty server got."""
    servers = [one.server for one in done if from_s <= one.started_s < until_s]
    return 100 * servers.count(0) / len(servers)


def _back_after_s(done: Sequence[Done], fleet: Fleet) -> float:
    """Return how long after the fault the server gets half its fair share."""
    fair = 100 / fleet.servers
    last_s = int(fleet.run_s) - _WELL_S
    for passed_s in range(last_s):
        at_s = _WELL_S + passed_s
        if _share(done, at_s, at_s + 1) >= fair / 2:
            return passed_s + 1
    return float('inf')


def _cost_of_choice() -> None:
    """Time choosing and recording the result, without the simulation."""
    spent_s = min(_time_choices() for _ in range(_ROUNDS))
    spent_us = spent_s / _CHOICES * _US_PER_S
    _say(
        f'choosing and recording: {spent_us:.0f} us of processor time per call'
    )


def _time_choices() -> float:
    policy = make_carobmoor(Fleet(callers=1), Fault(), 1)
    report = LoadReport(9, 1, 0, 5000, is_leaving=False)
    begun_s = time.process_time()
    for number in range(_CHOICES):
        now_s = number / _CHOICES_PER_S
        server = policy.choose(0, now_s)
        policy.ended(0, server, True, report, now_s)
    return time.process_time() - begun_s


def _median_ms(times_s: Sequence[float]) -> float:
    return statistics.median(times_s) * _MS_PER_S


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
