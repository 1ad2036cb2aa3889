"""Command line: `run`, `mix` and `check`; exits with 1 on a breach."""

import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path

import fire
from result import Err

from carobmoor.history import encode_event
from proofs._checker import check as check_history
from proofs._histories import read_histories
from proofs._random_scenarios import Block, build_scenario, draw_blocks, shrink
from proofs._runner import Outcome, play
from proofs._scenario import Scenario, load_scenario
from proofs._types import Bounds, Breach


def run(*paths: str) -> None:
    """Play scenario files one after the other.

    Args:
        paths: The scenario files.
    """
    broken = [path for path in paths if not _play_file(Path(path))]
    sys.exit(1 if broken else 0)


def mix(seeds: int = 10, first: int = 1) -> None:
    """Play random scenarios and shrink those that break a rule.

    Args:
        seeds: How many scenarios to play, each from its own seed.
        first: The seed of the first scenario.
    """
    broken = [
        seed for seed in range(first, first + seeds) if not _play_random(seed)
    ]
    sys.stdout.write(
        f'{seeds} random scenarios from seed {first}, broken: {broken}\n'
    )
    sys.exit(1 if broken else 0)


def check(*paths: str) -> None:
    """Check recorded histories against all rules but the slot limits.

    Args:
        paths: History files of processes that ran on one machine, since
                events are ordered by its clock.
    """
    breaches = check_history(read_histories(map(Path, paths)), Bounds())
    for breach in breaches:
        _print_breach(breach)
    sys.exit(1 if breaches else 0)


def _play_file(path: Path) -> bool:
    loaded = load_scenario(path)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            sys.stderr.write(f'{fault}\n')
        return False
    scenario: Scenario = loaded.ok_value
    outcome = asyncio.run(play(scenario))
    print_outcome(f'{path}: {scenario["promise"]}', outcome)
    return not outcome.breaches


def _play_random(seed: int) -> bool:
    blocks = draw_blocks(seed)
    outcome = asyncio.run(play(build_scenario(blocks, seed)))
    print_outcome(f'random scenario of seed {seed}', outcome)
    if not outcome.breaches:
        return True
    failing = [outcome]
    rules = {breach.rule for breach in outcome.breaches}

    async def breaks(fewer: Sequence[Block]) -> bool:
        rerun = await play(build_scenario(fewer, seed))
        if not rules & {breach.rule for breach in rerun.breaches}:
            return False
        failing.append(rerun)
        return True

    shortest = asyncio.run(shrink(blocks, breaks))
    print_outcome(f'shortest failing scenario of seed {seed}', failing[-1])
    for block in shortest:
        for step in block:
            sys.stdout.write(f'  {json.dumps(step)}\n')
    return False


def print_outcome(title: str, outcome: Outcome) -> None:
    """Print whether a scenario held, its outcomes by rank and its breaches."""
    verdict = 'BROKEN' if outcome.breaches else 'held'
    sys.stdout.write(f'{verdict}: {title}\n')
    for rank, counted in sorted(outcome.outcomes.items()):
        counts = ', '.join(f'{count} {end}' for end, count in counted.items())
        sys.stdout.write(f'  {rank}: {counts}\n')
    for breach in outcome.breaches:
        _print_breach(breach)


def _print_breach(breach: Breach) -> None:
    sys.stdout.write(f'  {breach.rule}: {breach.detail}\n')
    for event in breach.events:
        sys.stdout.write(f'    {encode_event(event).decode()}')


if __name__ == '__main__':
    fire.Fire({'run': run, 'mix': mix, 'check': check}, name='proofs')
