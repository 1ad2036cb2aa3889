"""Generates random scenarios from a seed and shrinks failing ones."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final

from proofs._language import Scenario

_PAIRS: Final = ('payments-0', 'payments-1', 'payments-2')
_LINK_FAULTS: Final = ('cut', 'hold', 'delay', 'lose', 'truncate', 'cross')
_MOST_BLOCKS: Final = 4
_SLOW_MS: Final = 400

# Steps that belong together: a fault and its mending.
Block = Sequence[dict[str, Any]]
Breaks = Callable[[Sequence[Block]], Awaitable[bool]]


def draw_blocks(seed: int) -> Sequence[Block]:
    """Draw the faults of one scenario; the same seed gives the same ones."""
    rng = random.Random(seed)
    makers = (_killed, _frozen, _linked, _stored, _published, _replaced)
    return [
        rng.choice(makers)(rng) for _ in range(rng.randint(2, _MOST_BLOCKS))
    ]


def scenario_of(blocks: Sequence[Block], seed: int) -> Scenario:
    """Build a scenario that plays the faults under load."""
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


def _wait(rng: random.Random) -> dict[str, Any]:
    return {'do': 'wait', 'for_ms': rng.randint(100, 1200)}


def _killed(rng: random.Random) -> Block:
    process = f'{rng.choice(("node", "backend"))} {rng.choice(_PAIRS)}'
    return (
        {'do': 'kill', 'process': process},
        _wait(rng),
        {'do': 'restart', 'process': process},
    )


def _frozen(rng: random.Random) -> Block:
    process = f'{rng.choice(("node", "backend"))} {rng.choice(_PAIRS)}'
    return (
        {'do': 'freeze', 'process': process},
        _wait(rng),
        {'do': 'thaw', 'process': process},
    )


def _replaced(rng: random.Random) -> Block:
    process = f'node {rng.choice(_PAIRS)}'
    return (
        {'do': 'drain', 'process': process},
        _wait(rng),
        {'do': 'restart', 'process': process},
    )


def _linked(rng: random.Random) -> Block:
    link = f'{rng.choice(("backend", "platform"))} {rng.choice(_PAIRS)}'
    fault = rng.choice(_LINK_FAULTS)
    amount = rng.randint(20, _SLOW_MS)
    return (
        {'do': fault, 'link': link, 'amount': amount},
        _wait(rng),
        {'do': 'mend', 'link': link},
    )


def _stored(rng: random.Random) -> Block:
    fault: Any = rng.choice(
        (
            {'is_down': True},
            {'delay_ms': rng.randint(50, _SLOW_MS)},
            {'loses_answers': rng.randint(1, 3)},
        ),
    )
    mended = {'is_down': False, 'delay_ms': 0, 'loses_answers': 0}
    return (
        {'do': 'store', **fault},
        {'do': 'publish', 'operators': rng.randint(1, 2)},
        _wait(rng),
        {'do': 'store', **mended},
    )


def _published(rng: random.Random) -> Block:
    return (
        {'do': 'publish', 'operators': rng.randint(1, 4)},
        _wait(rng),
    )
