"""Command line: `python -m soak --seeds 50`; exits with 1 on a breach."""

import asyncio
import sys
from pathlib import Path
from typing import Final

import fire

from soak._run import Verdict, draw_all_faults, run_seed

_SHOWN_EVENTS: Final = 6


def soak(
    seeds: int = 10,
    first: int = 1,
    span_s: float = 8,
    nodes: int = 5,
    logs: str = '',
) -> None:
    """Run seeds one after the other and print the breaches of each.

    Args:
        seeds: How many seeds to run.
        first: The first seed; the others follow it.
        span_s: The time in which faults begin, in seconds.
        nodes: How many nodes to start, each as a process.
        logs: A folder for the node logs of seeds with a breach; empty
                keeps none.
    """
    broken = []
    for seed in range(first, first + seeds):
        verdict = asyncio.run(run_seed(seed, span_s, nodes))
        _print_outcomes(seed, verdict)
        if verdict.breaches:
            broken.append(seed)
            _print_breaches(seed, span_s, nodes, verdict)
            _keep_logs(seed, verdict, logs)
    sys.stdout.write(f'{seeds} seeds from {first}, broken: {broken}\n')
    sys.exit(1 if broken else 0)


def _print_outcomes(seed: int, verdict: Verdict) -> None:
    counts = verdict.outcomes.items()
    summary = ', '.join(f'{kind} {count}' for kind, count in counts)
    sys.stdout.write(f'seed {seed}: {summary}\n')
    sys.stdout.flush()


def _print_breaches(
    seed: int, span_s: float, nodes: int, verdict: Verdict
) -> None:
    for fault in draw_all_faults(seed, span_s, nodes):
        sys.stdout.write(f'  {fault}\n')
    for breach in verdict.breaches:
        sys.stdout.write(f'  BROKEN {breach.rule}: {breach.detail}\n')
        for event in breach.events[:_SHOWN_EVENTS]:
            sys.stdout.write(f'    {event}\n')


def _keep_logs(seed: int, verdict: Verdict, folder: str) -> None:
    if not folder:
        return
    Path(folder).mkdir(parents=True, exist_ok=True)
    for ip, log in verdict.logs.items():
        Path(folder, f'seed-{seed}-{ip}.log').write_text(log)


if __name__ == '__main__':
    fire.Fire(soak)
