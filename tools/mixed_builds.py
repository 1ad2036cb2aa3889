"""Runs two builds together, in both orders, and checks that they interoperate.

Run it as `python -m tools.mixed_builds --other CHECKOUT` from the root of one
checkout. All processes run on the loopback interface.
"""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Final

import fire

from tools._mixed_files import run_files
from tools._mixed_mesh import run_mesh
from tools._mixed_nodes import run_nodes
from tools._mixed_processes import Build
from tools._mixed_report import Outcome, report

Part = Callable[[str, Build, Build], Awaitable[Sequence[bool]]]

# Limits one part; its processes end with it.
_PART_TIMEOUT_S: Final = 300
_PARTS: Final = (('nodes', run_nodes), ('mesh', run_mesh), ('files', run_files))


def mixed_builds(other: str, python: str = '') -> None:
    """Check this checkout against another; exits with 1 on a failure.

    Args:
        other: Root of the other checkout.
        python: Interpreter of the other checkout, by default its `.venv`.
    """
    root = Path(other).resolve()
    # The link is not resolved: its location selects the packages.
    interpreter = Path(python or root / '.venv' / 'bin' / 'python').absolute()
    this = Build('this', Path.cwd(), sys.executable)
    that = Build('other', root, str(interpreter))
    outcomes = asyncio.run(_run_both_ways(this, that))
    failed = outcomes.count(False)
    sys.stdout.write(f'{len(outcomes)} checks, {failed} failed\n')
    sys.exit(1 if failed else 0)


async def _run_both_ways(this: Build, that: Build) -> Sequence[bool]:
    """Run every part in both orders."""
    outcomes: list[bool] = []
    task = asyncio.current_task()
    if task is not None:
        # On SIGTERM the processes are ended too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    for first, second in ((this, that), (that, this)):
        for name, part in _PARTS:
            title = f'{name}, {first.label} then {second.label}'
            outcomes.extend(await _run(title, part, first, second))
    return outcomes


async def _run(
    title: str, part: Part, first: Build, second: Build
) -> Sequence[bool]:
    """Run one part; an error of its setup is a failed check."""
    try:
        async with asyncio.timeout(_PART_TIMEOUT_S):
            return await part(title, first, second)
    except Exception as error:
        outcome = Outcome('no error', repr(error))
        return [report(f'{title}, setup', outcome)]


if __name__ == '__main__':
    fire.Fire(mixed_builds)
