"""A reload signal during the start does not end a node.

The default action of SIGHUP ends a process. Guards against a signal that
arrives during the imports, before a handler is set.
"""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from soak._stage import Place, has_handler, settings_of

_PLACE = Place(0, '127.19.0.1', 'north-a')
_MAX_CHECKS = 200
_CHECK_INTERVAL_S = 0.01


def test_reload_signal_does_not_end_a_start():
    """SIGHUP does not end the process at any time of its start."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'node.conf')
        path.write_text(settings_of(_PLACE))
        asyncio.run(_start_and_signal(str(path)))


async def _start_and_signal(path: str) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'carobmoor.platform',
        env={**os.environ, 'CAROBMOOR_CONFIG': path},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await _signal_until_started(process)
        assert process.returncode is None
    finally:
        process.kill()
        await process.wait()


async def _signal_until_started(process: asyncio.subprocess.Process) -> None:
    await _wait_for_handler(process.pid)
    has_started = False
    while not has_started:
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(_CHECK_INTERVAL_S)
        assert process.stdout is not None
        has_started = await _logs_start(process.stdout)


async def _wait_for_handler(pid: int) -> None:
    """Wait for the handler of SIGHUP, which must be set before the imports."""
    for _ in range(_MAX_CHECKS):
        if has_handler(pid, signal.SIGHUP):
            assert not _has_imported(pid), (
                'SIGHUP handler set after the imports'
            )
            return
        await asyncio.sleep(_CHECK_INTERVAL_S / 10)
    raise TimeoutError


def _has_imported(pid: int) -> bool:
    return 'msgspec' in Path(f'/proc/{pid}/maps').read_text()


async def _logs_start(output: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(_CHECK_INTERVAL_S):
            line = await output.readline()
    except TimeoutError:
        return False
    assert line, 'the process ended before it logged its start'
    return b'Node starts.' in line
