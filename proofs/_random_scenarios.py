"""Generates random scenarios from a seed and shrinks failing ones."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final

from proofs._scenario import Scenario

_PAIRS: Final = ('payments-0', 'payments-1', 'payments-2')
_LINK_FAULTS: Final = ('cut', 'hold', 'delay', 'lose', 'truncate', 'cross')
_MAX_BLOCKS: Final = 4
_MAX_DELAY_MS: Final = 400

# Steps that belong together: a fault and its mending.
Block = Sequence[dict[str, Any]]
Breaks = Callable[[Sequence[Block]], Awaitable[bool]]


def draw_blocks(seed: int) -> Sequence[Block]:
    """Draw the faults of one scenario; the same seed gives the same ones."""
    rng = random.Random(seed)
    draw_functions = (
        _draw_kill,
        _draw_freeze,
        _draw_link_fault,
        _draw_store_fault,
        _draw_publish,
        _draw_replacement,
    )
    return [
        rng.choice(draw_functions)(rng)
        for _ in range(rng.randint(2, _MAX_BLOCKS))
    ]


def build_scenario(blocks: Sequence[Block], seed: int) -> Scenario:
    """Build a scenario that plays the faults under load.

    Each block mends its own fault, so that none is left at the end.
    """
    flood = {
        'do': 'flood',
        'service': 'payments',
        'rank': 'urgent',
        'calls': 600,
        'rate': 100,
        'timeout_ms': 900,
    }
    copies = {**flood, 'calls': 100, 'rate': 20, 'copies': 2}
    reads = {**flood, 'rank': 'browse', 'repeatable': True, 'calls': 200}
    failures = [step for block in blocks for step in block]
    scenario: Any = {
        'promise': f'all of them, mix {seed}',
        'deployment': 'adeyemi',
        'places': [
            {'service': 'payments', 'count': 3, 'slots': 4, 'service_ms': 15},
        ],
        'seed': seed,
        'steps': [flood, copies, reads, *failures, {'do': 'join'}],
    }
    return scenario


async def shrink(blocks: Sequence[Block], breaks: Breaks) -> Sequence[Block]:
    """Drop blocks one by one as long as the rest still breaks a rule."""
    index = 0
    while index < len(blocks):
        fewer = [*blocks[:index], *blocks[index + 1 :]]
        if await breaks(fewer):
            blocks = fewer
        else:
            index += 1
    return blocks


def _draw_wait(rng: random.Random) -> dict[str, Any]:
    return {'do': 'wait', 'for_ms': rng.randint(100, 1200)}


def _draw_kill(rng: random.Random) -> Block:
    process = f'{rng.choice(("node", "backend"))} {rng.choice(_PAIRS)}'
    return (
        {'do': 'kill', 'process': process},
        _draw_wait(rng),
        {'do': 'restart', 'process': process},
    )


def _draw_freeze(rng: random.Random) -> Block:
    process = f'{rng.choice(("node", "backend"))} {rng.choice(_PAIRS)}'
    return (
        {'do': 'freeze', 'process': process},
        _draw_wait(rng),
        {'do': 'thaw', 'process': process},
    )


def _draw_replacement(rng: random.Random) -> Block:
    process = f'node {rng.choice(_PAIRS)}'
    return (
        {'do': 'drain', 'process': process},
        _draw_wait(rng),
        {'do': 'restart', 'process': process},
    )


def _draw_link_fault(rng: random.Random) -> Block:
    link = f'{rng.choice(("backend", "platform"))} {rng.choice(_PAIRS)}'
    fault = rng.choice(_LINK_FAULTS)
    amount = rng.randint(20, _MAX_DELAY_MS)
    return (
        {'do': fault, 'link': link, 'amount': amount},
        _draw_wait(rng),
        {'do': 'mend', 'link': link},
    )


def _draw_store_fault(rng: random.Random) -> Block:
    fault: Any = rng.choice(
        (
            {'is_down': True},
            {'delay_ms': rng.randint(50, _MAX_DELAY_MS)},
            {'loses_answers': rng.randint(1, 3)},
        ),
    )
    no_faults = {'is_down': False, 'delay_ms': 0, 'loses_answers': 0}
    return (
        {'do': 'store', **fault},
        {'do': 'publish', 'operators': rng.randint(1, 2)},
        _draw_wait(rng),
        {'do': 'store', **no_faults},
    )


def _draw_publish(rng: random.Random) -> Block:
    return (
        {'do': 'publish', 'operators': rng.randint(1, 4)},
        _draw_wait(rng),
    )
