"""Calls that retries and hedges add, with and without budgets.

Retries run call by call through a simulated chain of services, with the budgets
of `carobmoor.retries`; hedges run in a simulation of one service.
"""

import statistics
import sys
from collections.abc import Sequence
from types import MappingProxyType

from bench._chain import Chain, ChainRun, Fails
from bench._hedges import HedgeRun, run_hedges
from carobmoor.retries import DEFAULT_RETRY_POLICY

_DEEP = 12
_CALLS = 4000
# Without budgets one call into a chain of 12 layers with two retries each
# becomes 3 ** 12 calls.
_UNBOUNDED_CALLS = 1
_HALF = 0.5
_TENTH = 0.1
_HUNDREDTH = 0.01

_FAILS = MappingProxyType[str, Fails](
    {
        'everything fails': lambda number, drawn: True,
        'half of the calls fail': lambda number, drawn: drawn < _HALF,
        'one in ten calls fails': lambda number, drawn: drawn < _TENTH,
        'one chain in ten always fails': lambda number, drawn: not number % 10,
        'one in a hundred fails': lambda number, drawn: drawn < _HUNDREDTH,
    },
)


def measure_retries(seeds: int = 3) -> None:
    """Print how many calls retries and hedges add.

    Args:
        seeds: Runs of each case. The figures of retries are the worst of them,
            those of hedges their medians.
    """
    _say('calls sent over calls offered; answered well, %')
    _say('case                            depth  a layer  bottom  answered')
    for depth in (1, _DEEP):
        for name, fails in _FAILS.items():
            runs = [_chain(depth, fails, seed, _CALLS) for seed in range(seeds)]
            _say(_line(name, depth, runs))
    _say('the same without budgets, and without passing on the retries left')
    for depth in (1, 6, _DEEP):
        runs = [_chain(depth, _FAILS['everything fails'], 0, 0)]
        _say(_line('everything fails', depth, runs))
    _hedge_table(seeds)


def _chain(depth: int, fails: Fails, seed: int, calls: int) -> ChainRun:
    chain = Chain(depth, DEFAULT_RETRY_POLICY, fails, seed, bool(calls))
    return chain.run(calls or _UNBOUNDED_CALLS)


def _line(name: str, depth: int, runs: Sequence[ChainRun]) -> str:
    layer = max(run.most_per_layer for run in runs)
    bottom = max(run.sent[-1] / run.offered for run in runs)
    answered = min(100 * run.answered / run.offered for run in runs)
    figures = f'{layer:>9.2f}{bottom:>8.2f}{answered:>10.1f}'
    return f'{name:<31}{depth:>6}{figures}'


def _hedge_table(seeds: int) -> None:
    _say('hedging, one call in fifty 20 times slower')
    _say('way               p50 ms   p99 ms   p99.9 ms   extra calls, %')
    for name, is_hedged in (('no hedges', False), ('hedges', True)):
        runs = [run_hedges(seed, is_hedged) for seed in range(seeds)]
        _say(f'{name:<16}{_hedge_figures(runs)}')


def _hedge_figures(runs: Sequence[HedgeRun]) -> str:
    columns = zip(*runs, strict=True)
    p50, p99, p999, extra = (statistics.median(column) for column in columns)
    return f'{p50:>8.1f}{p99:>9.1f}{p999:>11.1f}{extra:>18.2f}'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
