"""Rendering of the burn report as a table for the terminal."""

from collections.abc import Sequence
from typing import Final

from carobmoor.burn import RankBurn

_HEADER: Final = (
    f'{"service":<14}{"rank":<12}{"target":>9}{"p50 ms":>9}{"p99 ms":>9}'
    f'{"5 min":>8}{"30 min":>8}{"1 h":>8}{"6 h":>8}{"left":>8}  cause'
)
_NO_CAUSE: Final = '-'


def render_table(burns: Sequence[RankBurn]) -> str:
    """Return a table with a line for each rank.

    A line has burn rates, remaining budget and causes of bad answers.
    """
    lines = [_HEADER, *(_render_line(burn) for burn in burns)]
    return '\n'.join(lines)


def format_causes(burn: RankBurn) -> str:
    """Return the causes of bad answers with their shares, largest first."""
    counts = sorted(burn.bad_by_cause.items(), key=_negative_count)
    total = sum(burn.bad_by_cause.values())
    shares = [
        f'{name.replace("_", " ")} {count / total:.0%}'
        for name, count in counts
        if count
    ]
    return ', '.join(shares) or _NO_CAUSE


def _negative_count(entry: tuple[str, int]) -> int:
    return -entry[1]


def _render_line(burn: RankBurn) -> str:
    objective = burn.objective
    target = f'{objective.target_latency_ms} ms'
    rates = ''.join(f'{window.burn_rate:>8.1f}' for window in burn.windows)
    return (
        f'{objective.service:<14}{objective.rank:<12}{target:>9}'
        f'{burn.p50_ms:>9.1f}{burn.p99_ms:>9.1f}{rates}'
        f'{burn.budget_remaining:>8.0%}  {format_causes(burn)}'
    )
