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

from bench._routing_policies import (
    PolicyFactory,
    make_carobmoor,
    make_health_checked,
    make_least_in_flight,
    make_random,
    make_round_robin,
)
from bench._routing_simulation import (
    CompletedCall,
    Fault,
    SimulatedService,
    Simulation,
)
from bench._routing_trials import run_on_processes
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
_FAULT_START_S = 10
_FAULT_END_S = 20
_MS_PER_S = 1000
_P99 = 0.99
_ROUNDS = 5
_CHOICES = 5000
_CHOICES_PER_S = 200
_US_PER_S = 1_000_000

_SERVICES = MappingProxyType(
    {
        '20 callers': SimulatedService(),
        '20 callers, reports 500 ms old': SimulatedService(report_lag_s=0.5),
        '120 callers': SimulatedService(caller_count=120),
        '20 callers, even service times': SimulatedService(
            has_random_service_times=False
        ),
    },
)


def measure_routing(seeds: int = 3, trials: bool = True) -> None:
    """Print the figures of routing under each fault.

    Args:
        seeds: Runs of each case; the figures are medians over them, the worst
            of them or both.
        trials: Whether to try the faults on real processes too.
    """
    _write_line('simulated clock, six servers, nine slots, 1,200 calls/s')
    policies = _POLICIES
    for title, service in _SERVICES.items():
        _write_line(f'-- {title}')
        _print_stragglers(service, policies, seeds)
        _print_failures(service, policies, seeds)
        # The baselines use no reports and do not know of other callers, so
        # they run only on the first service.
        policies = MappingProxyType({'carobmoor': make_carobmoor})
    _write_line('-- misleading health endpoints')
    _print_health_checks(SimulatedService(), seeds)
    _measure_choice()
    if trials:
        _write_line('-- trials on real processes: six servers, one caller')
        _write_line(
            'fault              way         p50 ms   p99 ms  share %  failed'
        )
        asyncio.run(run_on_processes(_write_line))


def _print_stragglers(
    service: SimulatedService,
    policies: Mapping[str, PolicyFactory],
    seeds: int,
) -> None:
    _write_line('10x straggler    p99 ms without   with   ratio (worst seed)')
    slow = Fault('slow', from_s=_FAULT_START_S)
    for name, make_policy in policies.items():
        healthy = [
            _p99_s(_simulate(service, Fault(), make_policy, seed))
            for seed in range(seeds)
        ]
        faulty = [
            _p99_s(_simulate(service, slow, make_policy, seed))
            for seed in range(seeds)
        ]
        ratios = [
            with_fault / without_fault
            for with_fault, without_fault in zip(faulty, healthy, strict=True)
        ]
        latencies = f'{_median_ms(healthy):>14.1f}{_median_ms(faulty):>8.1f}'
        ratio = f'{statistics.median(ratios):>7.2f} ({max(ratios):.2f})'
        _write_line(f'{name:<17}{latencies}{ratio}')


def _print_failures(
    service: SimulatedService,
    policies: Mapping[str, PolicyFactory],
    seeds: int,
) -> None:
    _write_line(
        'fails fast       % of calls after 1 s (worst)   used again after s'
    )
    fault = Fault('fails', from_s=_FAULT_START_S, until_s=_FAULT_END_S)
    for name, make_policy in policies.items():
        runs = [
            _simulate(service, fault, make_policy, seed)
            for seed in range(seeds)
        ]
        percents = [
            _faulty_percent(run, _FAULT_START_S + 1, _FAULT_END_S)
            for run in runs
        ]
        slowest_recovery_s = max(_recovery_s(run, service) for run in runs)
        percent_cell = (
            f'{statistics.median(percents):>10.2f} ({max(percents):.2f})'
        )
        _write_line(f'{name:<17}{percent_cell}{slowest_recovery_s:>24.1f}')


def _print_health_checks(service: SimulatedService, seeds: int) -> None:
    _write_line(
        'dead, "fine"     % of calls after 1 s; then fine, "dead": % of calls'
    )
    hidden_fault = Fault(
        'dead', from_s=_FAULT_START_S, until_s=_FAULT_END_S, health='ok'
    )
    false_alarm = Fault('none', from_s=_FAULT_START_S, health='dead')
    for name, make_policy in _POLICIES.items():
        dead_percents = [
            _faulty_percent(
                _simulate(service, hidden_fault, make_policy, seed),
                _FAULT_START_S + 1,
                _FAULT_END_S,
            )
            for seed in range(seeds)
        ]
        healthy_percents = [
            _faulty_percent(
                _simulate(service, false_alarm, make_policy, seed),
                _FAULT_START_S + 1,
                _FAULT_END_S,
            )
            for seed in range(seeds)
        ]
        figures = f'{max(dead_percents):>20.2f}{min(healthy_percents):>32.2f}'
        _write_line(f'{name:<17}{figures}')


def _simulate(
    service: SimulatedService,
    fault: Fault,
    make_policy: PolicyFactory,
    seed: int,
) -> Sequence[CompletedCall]:
    return Simulation(
        service, fault, make_policy(service, fault, seed), seed
    ).run()


def _p99_s(completed: Sequence[CompletedCall]) -> float:
    """Return the p99 latency of the calls started since the fault began."""
    latencies = sorted(
        call.ended_s - call.started_s
        for call in completed
        if call.started_s >= _FAULT_START_S
    )
    return latencies[int(len(latencies) * _P99)]


def _faulty_percent(
    completed: Sequence[CompletedCall], from_s: float, until_s: float
) -> float:
    """Return the percentage of the calls that the faulty server got."""
    servers = [
        call.server for call in completed if from_s <= call.started_s < until_s
    ]
    return 100 * servers.count(0) / len(servers)


def _recovery_s(
    completed: Sequence[CompletedCall], service: SimulatedService
) -> float:
    """Return how long after the fault the server gets half its fair share."""
    fair_percent = 100 / service.server_count
    observed_s = int(service.duration_s) - _FAULT_END_S
    for elapsed_s in range(observed_s):
        at_s = _FAULT_END_S + elapsed_s
        if _faulty_percent(completed, at_s, at_s + 1) >= fair_percent / 2:
            return elapsed_s + 1
    return float('inf')


def _measure_choice() -> None:
    """Time choosing and recording the result, without the simulation."""
    cpu_s = min(_time_choices() for _ in range(_ROUNDS))
    cpu_us = cpu_s / _CHOICES * _US_PER_S
    _write_line(
        f'choosing and recording: {cpu_us:.0f} us of processor time per call'
    )


def _time_choices() -> float:
    policy = make_carobmoor(SimulatedService(caller_count=1), Fault(), 1)
    report = LoadReport(9, 1, 0, 5000, is_leaving=False)
    started_s = time.process_time()
    for number in range(_CHOICES):
        now_s = number / _CHOICES_PER_S
        server = policy.choose(0, now_s)
        policy.record_end(0, server, True, report, now_s)
    return time.process_time() - started_s


def _median_ms(times_s: Sequence[float]) -> float:
    return statistics.median(times_s) * _MS_PER_S


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
