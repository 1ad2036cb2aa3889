"""Plays two builds side by side, both ways round, and tells what came.

Run it as `python -m tools.mixed_builds --other CHECKOUT` from the root of one
checkout. Everything runs on the loopback.
"""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Final

import fire

from tools._mixed_files import play_files
from tools._mixed_mesh import play_mesh
from tools._mixed_nodes import play_nodes
from tools._mixed_report import Line
from tools._mixed_stage import Build

Part = Callable[[str, Build, Build], Awaitable[Sequence[Line]]]

# Far beyond what a part takes; its processes end with it.
_PART_TIMEOUT_S: Final = 300
_PARTS: Final = (
    ('nodes', play_nodes),
    ('mesh', play_mesh),
    ('files', play_files),
)


def mixed_builds(other: str, python: str = '') -> None:
    """Play this checkout and another one side by side; non-zero on a failure.

    Args:
        other: The root of the other checkout.
        python: Its interpreter; that of its `.venv` by default.
    """
    root = Path(other).resolve()
    # A link isn't followed: it tells the interpreter its packages.
    interpreter = Path(python or root / '.venv' / 'bin' / 'python').absolute()
    this = Build('this', Path.cwd(), sys.executable)
    that = Build('other', root, str(interpreter))
    lines = asyncio.run(_play_both_ways(this, that))
    failed = [line for line in lines if not line.has_passed]
    sys.stdout.write(f'{len(lines)} checks, {len(failed)} failed\n')
    sys.exit(1 if failed else 0)


async def _play_both_ways(this: Build, that: Build) -> Sequence[Line]:
    """Play every part both ways round."""
    lines: list[Line] = []
    playing = asyncio.current_task()
    if playing is not None:
        # A stop from outside ends the processes too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    for first, second in ((this, that), (that, this)):
        for name, part in _PARTS:
            title = f'{name}, {first.label} then {second.label}'
            lines.extend(await _play(title, part, first, second))
    return lines


async def _play(
    title: str,
    part: Part,
    first: Build,
    second: Build,
) -> Sequence[Line]:
    """Play one part; what keeps it from being set up is a failure too."""
    try:
        async with asyncio.timeout(_PART_TIMEOUT_S):
            return await part(title, first, second)
    except Exception as error:
        line = Line(f'{title}, set up', 'it runs', repr(error))
        sys.stdout.write(f'{line.render()}\n')
        return [line]


if __name__ == '__main__':
    fire.Fire(mixed_builds)
