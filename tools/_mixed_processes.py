"""The processes of two builds in one deployment.

Nodes run from the checkout of their build with its interpreter; stand-ins and
backend servers are those of the current checkout.
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
from soak._stage import Place, SoakDeployment, settings_of
from stand_ins.deployment import OPERATOR_TOKEN, Deployment, ServerPair

_COMMAND_TIMEOUT_S: Final = 30
_ANSWER_TIMEOUT_S: Final = 10
_PACKAGE: Final = 'carobmoor'


class Build(NamedTuple):
    """A checkout and the interpreter that runs it."""

    label: str
    root: Path
    python: str

    async def start(
        self, module: str, *arguments: str, log: Path, **variables: str
    ) -> asyncio.subprocess.Process:
        """Start a module of this build; its output is appended to `log`."""
        with log.open('ab') as output:
            return await asyncio.create_subprocess_exec(
                self.python,
                '-m',
                module,
                *arguments,
                cwd=self.root,
                env=self._environment(**variables),
                stdout=output,
                stderr=output,
            )

    async def run(self, *arguments: str) -> tuple[int, str, str]:
        """Run a command; returns its exit code, output and errors."""
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
    """A deployment in which each node is of its own build."""

    def __init__(self, builds: Sequence[Build]) -> None:
        """Prepare a deployment with the builds of the nodes in order."""
        super().__init__()
        self.builds = list(builds)

    async def start_node(self, pair: ServerPair) -> None:
        """Start the node of a pair from its build."""
        build = self.builds[self.pairs.index(pair)]
        self.processes[f'node {pair.name}'] = await build.start(
            _PACKAGE,
            'node',
            f'--settings={pair.settings_path}',
            log=self.log_of(pair),
        )

    def log_of(self, pair: ServerPair) -> Path:
        """Return the path of the log file of a node."""
        return Path(self.folder / f'{pair.name}.log')


class MixedMesh(SoakDeployment):
    """A deployment of mesh nodes in which each is of its own build."""

    def __init__(self, builds: Sequence[Build]) -> None:
        """Lay out a place for each build; starts nothing."""
        super().__init__(len(builds))
        self.builds = builds

    async def start_place(self, place: Place) -> None:
        """Start the node of a place from its build."""
        self.start_counts[place] += 1
        path = self.folder / f'node-{place.number}.conf'
        path.write_text(settings_of(place))
        self.processes[place.ip] = await self.builds[place.number].start(
            'carobmoor.platform',
            log=self.log_of(place),
            CAROBMOOR_CONFIG=str(path),
        )


async def send_request(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    headers: HeaderList = (),
) -> JsonAnswer:
    """Send a request, with a small body if it is a `POST`."""
    body = b'deposit' if method == 'POST' else b''
    request = OutgoingRequest(method, target, headers, body)
    response = await request_json(pool, address, request, _ANSWER_TIMEOUT_S)
    return response.unwrap()
