"""The processes of two builds beside each other on the loopback.

Each build runs from its own checkout with its own interpreter; stand-ins and
backend servers are those of the checkout that this is run from.
"""

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Final, NamedTuple

from carobmoor.transport import (
    Address,
    ConnectionPool,
    HeaderList,
    JsonAnswer,
    OutgoingRequest,
    request_json,
)
from soak._stage import Place, Stage, settings_of
from stand_ins.deployment import OPERATOR_TOKEN, Deployment, Pair

_COMMAND_TIMEOUT_S: Final = 30
_ANSWER_TIMEOUT_S: Final = 10
_PACKAGE: Final = 'carobmoor'


class Build(NamedTuple):
    """A checkout and the interpreter that runs it."""

    label: str
    root: Path
    python: str

    async def start(
        self,
        module: str,
        *arguments: str,
        log: Path,
        **variables: str,
    ) -> asyncio.subprocess.Process:
        """Start a module of this build; what it prints goes to `log`."""
        with log.open('ab') as printed:
            return await asyncio.create_subprocess_exec(
                self.python,
                '-m',
                module,
                *arguments,
                cwd=self.root,
                env=self._environment(**variables),
                stdout=printed,
                stderr=printed,
            )

    async def run(self, *arguments: str) -> tuple[int, str, str]:
        """Run a command of this build; gives its code and both outputs."""
        process = await asyncio.create_subprocess_exec(
            self.python,
            '-m',
            _PACKAGE,
            *arguments,
            cwd=self.root,
            env=self._environment(CAROBMOOR_TOKEN=OPERATOR_TOKEN),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(_COMMAND_TIMEOUT_S):
                out, err = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return process.returncode or 0, out.decode(), err.decode()

    def _environment(self, **variables: str) -> dict[str, str]:
        return {**os.environ, 'PYTHONPATH': str(self.root), **variables}


class MixedDeployment(Deployment):
    """Product nodes, each of the build that stands at its place."""

    def __init__(self, builds: Sequence[Build]) -> None:
        """Take the build of each pair to come; nothing runs yet."""
        super().__init__()
        self.builds = list(builds)

    async def start_node(self, pair: Pair) -> None:
        """Start the node of a pair, of its build."""
        build = self.builds[self.pairs.index(pair)]
        self.processes[f'node {pair.name}'] = await build.start(
            _PACKAGE,
            'node',
            f'--settings={pair.settings_path}',
            log=self.log_of(pair),
        )

    def log_of(self, pair: Pair) -> Path:
        """Give the file with the log lines of a node."""
        return Path(self.folder / f'{pair.name}.log')


class MixedStage(Stage):
    """Mesh nodes, each of the build that stands at its place."""

    def __init__(self, builds: Sequence[Build]) -> None:
        """Make a place for each build; nothing runs yet."""
        super().__init__(len(builds))
        self.builds = builds

    async def start_place(self, place: Place) -> None:
        """Start the node of a place, of its build."""
        self.starts[place] += 1
        path = self.folder / f'node-{place.number}.conf'
        path.write_text(settings_of(place))
        self.processes[place.ip] = await self.builds[place.number].start(
            'carobmoor.platform',
            log=self.log_of(place),
            CAROBMOOR_CONFIG=str(path),
        )


async def ask(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    headers: HeaderList = (),
) -> JsonAnswer:
    """Send a request, with a small body if it is a `POST`."""
    body = b'deposit' if method == 'POST' else b''
    request = OutgoingRequest(method, target, headers, body)
    asked = await request_json(pool, address, request, _ANSWER_TIMEOUT_S)
    return asked.unwrap()
