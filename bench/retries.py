"""Calls that retries and hedges add, with and without budgets.

Retries run call by call through a simulated chain of services, with the budgets
of `carobmoor.retries`; hedges run in a simulation of one service.
"""

import statistics
import sys
from collections.abc import Sequence
from types import MappingProxyType

from bench._hedge_simulation import HedgeRun, simulate_hedges
from bench._retry_chain import Chain, ChainRun, FailurePredicate
from carobmoor.retries import DEFAULT_RETRY_POLICY

_MAX_DEPTH = 12
_CALLS = 4000
# Without budgets one call into a chain of 12 layers with two retries each
# becomes 3 ** 12 calls.
_UNBOUNDED_CALLS = 1
_HALF = 0.5
_TENTH = 0.1
_HUNDREDTH = 0.01

_FAILURES = MappingProxyType[str, FailurePredicate](
    {
        'everything fails': lambda number, random_number: True,
        'half of the calls fail': lambda number, random_number: (
            random_number < _HALF
        ),
        'one in ten calls fails': lambda number, random_number: (
            random_number < _TENTH
        ),
        'one chain in ten always fails': lambda number, random_number: (
            not number % 10
        ),
        'one in a hundred fails': lambda number, random_number: (
            random_number < _HUNDREDTH
        ),
    },
)


def measure_retries(seeds: int = 3) -> None:
    """Print how many calls retries and hedges add.

    Args:
        seeds: Runs of each case. The figures of retries are the worst of them,
            those of hedges their medians.
    """
    _write_line('calls sent over calls offered; answered well, %')
    _write_line(
        'case                            depth  a layer  bottom  answered'
    )
    for depth in (1, _MAX_DEPTH):
        for name, is_failure in _FAILURES.items():
            runs = [
                _run_chain(depth, is_failure, seed, _CALLS)
                for seed in range(seeds)
            ]
            _write_line(_format_line(name, depth, runs))
    _write_line(
        'the same without budgets, and without passing on the retries left'
    )
    for depth in (1, 6, _MAX_DEPTH):
        runs = [_run_chain(depth, _FAILURES['everything fails'], 0, 0)]
        _write_line(_format_line('everything fails', depth, runs))
    _print_hedges(seeds)


def _run_chain(
    depth: int, is_failure: FailurePredicate, seed: int, calls: int
) -> ChainRun:
    chain = Chain(depth, DEFAULT_RETRY_POLICY, is_failure, seed, bool(calls))
    return chain.run(calls or _UNBOUNDED_CALLS)


def _format_line(name: str, depth: int, runs: Sequence[ChainRun]) -> str:
    per_call = max(run.max_attempts_per_call for run in runs)
    last_layer = max(run.attempts[-1] / run.offered for run in runs)
    answered_percent = min(100 * run.answered / run.offered for run in runs)
    figures = f'{per_call:>9.2f}{last_layer:>8.2f}{answered_percent:>10.1f}'
    return f'{name:<31}{depth:>6}{figures}'


def _print_hedges(seeds: int) -> None:
    _write_line('hedging, one call in fifty 20 times slower')
    _write_line('way               p50 ms   p99 ms   p99.9 ms   extra calls, %')
    for name, is_hedged in (('no hedges', False), ('hedges', True)):
        runs = [simulate_hedges(seed, is_hedged) for seed in range(seeds)]
        _write_line(f'{name:<16}{_format_hedges(runs)}')


def _format_hedges(runs: Sequence[HedgeRun]) -> str:
    columns = zip(*runs, strict=True)
    p50, p99, p999, extra_percent = (
        statistics.median(column) for column in columns
    )
    return f'{p50:>8.1f}{p99:>9.1f}{p999:>11.1f}{extra_percent:>18.2f}'


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
