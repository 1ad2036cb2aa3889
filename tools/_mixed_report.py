"""What the checks of two builds beside each other asked, and what came.

A check that raises has failed; the ones after it are still played.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple

# Far beyond the waits inside a check, which are 15 s each.
_CHECK_TIMEOUT_S: Final = 90


class Came(NamedTuple):
    """What one check wanted and what it saw."""

    asked: object
    came: object


class Line(NamedTuple):
    """One check as it ended."""

    title: str
    asked: object
    came: object

    @property
    def has_passed(self) -> bool:
        """Whether what came is what was asked."""
        return self.asked == self.came

    def render(self) -> str:
        """Give the line as it is printed."""
        verdict = 'passed' if self.has_passed else 'failed'
        return f'{verdict}  {self.title}: asked {self.asked}, came {self.came}'


Check = Callable[[Any], Awaitable[Came]]


async def play_checks(
    title: str,
    scene: object,
    checks: Sequence[Check],
) -> Sequence[Line]:
    """Play checks in turn, each named by its function; prints every line."""
    lines = []
    for check in checks:
        lines.append(await _play(title, scene, check))
        sys.stdout.write(f'{lines[-1].render()}\n')
        sys.stdout.flush()
    return lines


async def _play(title: str, scene: object, check: Check) -> Line:
    named = f'{title}, {check.__name__.replace("_", " ")}'
    try:
        async with asyncio.timeout(_CHECK_TIMEOUT_S):
            return Line(named, *await check(scene))
    # Whatever it raises is the outcome of this check.
    except Exception as error:
        return Line(named, 'an end', repr(error))
