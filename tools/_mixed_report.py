"""Runs the checks of two builds and prints each result.

A check that raises has failed; the ones after it still run.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple

# Each wait within a check is limited to 15 s.
_CHECK_TIMEOUT_S: Final = 90


class Outcome(NamedTuple):
    """The expected and the observed result of one check."""

    expected: object
    seen: object


Check = Callable[[Any], Awaitable[Outcome]]


async def run_checks(
    part: str, context: object, checks: Sequence[Check]
) -> Sequence[bool]:
    """Run checks in turn; prints each result and returns which passed."""
    return [
        report(
            f'{part}, {check.__name__.replace("_", " ")}',
            await _run(context, check),
        )
        for check in checks
    ]


def report(title: str, outcome: Outcome) -> bool:
    """Print the result of a check and return whether it passed."""
    has_passed = outcome.expected == outcome.seen
    sys.stdout.write(
        f'{"passed" if has_passed else "failed"}  {title}: '
        f'expected {outcome.expected}, seen {outcome.seen}\n'
    )
    sys.stdout.flush()
    return has_passed


async def _run(context: object, check: Check) -> Outcome:
    try:
        async with asyncio.timeout(_CHECK_TIMEOUT_S):
            return await check(context)
    # Any error is the outcome of this check.
    except Exception as error:
        return Outcome('no error', repr(error))
