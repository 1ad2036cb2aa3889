"""Sends the calls of a scenario."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Sequence
from typing import Final

from result import Result

from carobmoor import Call, CallAnswer, Client, Failure, Unknown
from carobmoor.client import record_call_sent, record_outcome
from proofs._deployment import ScenarioDeployment
from proofs._direct_call import call_directly
from proofs._scenario import FloodStep

_DEFAULT_RATE: Final = 200
_DEFAULT_TIMEOUT_MS: Final = 2000
_STALL_S: Final = 3600

CallResult = Result[CallAnswer, Failure]


class Callers:
    """Sends calls in the background and counts their outcomes by rank."""

    def __init__(
        self,
        client: Client,
        deployment: ScenarioDeployment,
        rng: random.Random,
    ) -> None:
        """Send through one client; `rng` draws the request bodies."""
        self.outcomes: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._client = client
        self._deployment = deployment
        self._rng = rng
        self._pending: set[asyncio.Task[None]] = set()
        self._floods = 0

    def start(self, flood: FloodStep) -> None:
        """Start sending the calls of a flood in the background."""
        self._floods += 1
        self._spawn(self._send_all(flood, f'flood-{self._floods}'))

    async def join(self) -> None:
        """Wait until every call has ended."""
        while self._pending:
            await asyncio.gather(*self._pending)

    def cancel(self) -> None:
        """Cancel all calls under way and those not yet sent."""
        for task in self._pending:
            task.cancel()

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _send_all(self, flood: FloodStep, name: str) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        rate = flood.get('rate', _DEFAULT_RATE)
        for number in range(flood['calls']):
            await asyncio.sleep(started_s + number / rate - loop.time())
            self._spawn(self._send(flood, f'{name}-{number}'))

    async def _send(self, flood: FloodStep, request_id: str) -> None:
        call = self._make_call(flood, request_id)
        node_name = flood.get('at', '')
        if node_name:
            owner = self._deployment.address_of(node_name)
            self._count(flood, await self._send_directly(owner, call))
            return
        call_result = await self._send_copies(call, flood.get('copies', 1))
        self._count(flood, call_result)
        for resend in range(flood.get('resends', 0)):
            if call_result.is_ok() or not isinstance(
                call_result.unwrap_err(), Unknown
            ):
                return
            call = call._replace(request_id=f'{call.request_id}-{resend}')
            call_result = await self._client.call(call)
            self._count(flood, call_result)

    async def _send_directly(self, owner: str, call: Call) -> CallResult:
        record_call_sent(self._deployment.record, call)
        call_result = await call_directly(self._deployment.pool, call, owner)
        record_outcome(self._deployment.record, call, call_result)
        return call_result

    async def _send_copies(self, call: Call, copies: int) -> CallResult:
        if copies == 1:
            return await self._client.call(call)
        minted = await self._client.dispatcher.choose_and_mint(
            call.service,
            call.request_id,
        )
        if minted.is_ok():
            call = call._replace(ticket=minted.unwrap())
        results = await asyncio.gather(
            *(self._client.call(call) for _ in range(copies)),
        )
        return results[0]

    def _make_call(self, flood: FloodStep, request_id: str) -> Call:
        crashes = flood.get('crashes', False)
        if crashes:
            request_id = f'crash-{request_id}'
        body = self._rng.randbytes(flood.get('body_bytes', 64))
        stalls = flood.get('stalls', False)
        return Call(
            flood['service'],
            'GET' if flood.get('repeatable', False) else 'POST',
            '/proof',
            b'' if stalls else body,
            _stalling_body(body) if stalls else None,
            _headers_of(flood),
            rank=flood['rank'],
            timeout_ms=flood.get('timeout_ms', _DEFAULT_TIMEOUT_MS),
            repeatable=flood.get('repeatable', False),
            request_id=request_id,
        )

    def _count(self, flood: FloodStep, call_result: CallResult) -> None:
        outcome = 'answered'
        if call_result.is_err():
            is_unknown = isinstance(call_result.unwrap_err(), Unknown)
            outcome = 'unknown' if is_unknown else 'not run'
        self.outcomes[flood['rank']][outcome] += 1


def _headers_of(flood: FloodStep) -> Sequence[tuple[bytes, bytes]]:
    headers: list[tuple[bytes, bytes]] = []
    service_ms = flood.get('service_ms')
    if service_ms is not None:
        headers.append((b'x-service-ms', b'%d' % service_ms))
    if flood.get('crashes', False):
        headers.append((b'x-crash', b'1'))
    return headers


async def _stalling_body(body: bytes) -> AsyncIterator[bytes]:
    yield body
    await asyncio.sleep(_STALL_S)
