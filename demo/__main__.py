"""Runs the demo as `python -m demo`; exits non-zero if a guarantee broke."""

import asyncio
import hashlib
import random
import signal
import sys
import time
from collections import Counter, defaultdict
from typing import Any, Final, NamedTuple

import fire
import msgspec
from hdrh.histogram import HdrHistogram
from result import Err

from carobmoor import Call, Client, NotRun
from stand_ins.deployment import Deployment, Place, read_example

_POST: Final = 'POST'
_TIMEOUT_MS: Final = 2000
_REGION: Final = 'lagos'
_NODES_PER_SERVICE: Final = 2
_MAX_LATENCY_US: Final = 60_000_000
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000
_PROGRESS_REPORTS: Final = 10


class CallKind(NamedTuple):
    """A kind of call in the mix."""

    service: str
    rank: str
    method: str
    target: str
    body_bytes: int
    repeatable: bool


_MIX: Final = (
    CallKind(
        'catalogue', 'browse', 'GET', '/instruments/drum', 0, repeatable=True
    ),
    CallKind(
        'bookings', 'booking', _POST, '/reservations', 140, repeatable=False
    ),
    CallKind(
        'media', 'upload', _POST, '/photographs', 20_000, repeatable=False
    ),
    CallKind('payments', 'urgent', _POST, '/deposits', 140, repeatable=False),
)


class TableRow(NamedTuple):
    """A row of the result table."""

    service: str
    rank: str


class Tally:
    """The outcomes and latencies of the calls of one service and rank."""

    def __init__(self) -> None:
        """Create an empty tally."""
        self.outcomes: Counter[str] = Counter()
        self.latency = HdrHistogram(1, _MAX_LATENCY_US, 3)


class DemoRun:
    """The state of one run: its results and the violated guarantees."""

    def __init__(self, seed: int) -> None:
        """Create a run whose mix of calls is drawn from `seed`."""
        self.rng = random.Random(seed)
        self.tallies: defaultdict[TableRow, Tally] = defaultdict(Tally)
        self.violations: list[str] = []
        self.answered: list[str] = []
        self.not_run: list[str] = []
        self.stopped_node = ''
        self.target_latencies_s: dict[str, float] = {}

    async def call_once(self, client: Client, number: int) -> None:
        """Send one call of the mix and check its outcome."""
        kind = self.rng.choice(_MIX)
        body = self.rng.randbytes(kind.body_bytes)
        request_id = f'demo-{number}'
        call = Call(
            kind.service,
            kind.method,
            kind.target,
            body,
            rank=kind.rank,
            timeout_ms=_TIMEOUT_MS,
            repeatable=kind.repeatable,
            request_id=request_id,
        )
        tally = self.tallies[TableRow(kind.service, kind.rank)]
        started_s = time.monotonic()
        outcome = await client.call(call)
        elapsed_s = time.monotonic() - started_s
        tally.latency.record_value(int(elapsed_s * _US_PER_S))
        if isinstance(outcome, Err):
            self._check_failure(tally, outcome.err_value, request_id)
            return
        in_target = elapsed_s <= self.target_latencies_s[kind.rank]
        tally.outcomes['answered'] += 1
        tally.outcomes['in target'] += int(in_target)
        self.answered.append(request_id)
        self._check_answer(outcome.ok_value.body, request_id, body)

    def check_starts(self, starts: Counter[str]) -> None:
        """Check that no request reported as not run was started."""
        for request_id in self.not_run:
            if starts[request_id]:
                self.violations.append(
                    f'{request_id}: reported as not run, but started'
                )

    def _check_failure(
        self,
        tally: Tally,
        failure: Any,
        request_id: str,
    ) -> None:
        if isinstance(failure, NotRun):
            tally.outcomes['not run'] += 1
            self.not_run.append(request_id)
            return
        tally.outcomes['unknown'] += 1
        if failure.peer == self.stopped_node:
            self.violations.append(
                f'{request_id}: cut off by the graceful stop'
            )

    def _check_answer(
        self, answer_body: bytes, request_id: str, body: bytes
    ) -> None:
        answer = msgspec.json.decode(answer_body)
        digest = hashlib.sha256(body).hexdigest()
        if answer['request_id'] != request_id:
            self.violations.append(
                f'{request_id}: answer is of another request'
            )
        if answer['body_sha256'] != digest:
            self.violations.append(
                f'{request_id}: request body arrived changed'
            )


async def run_demo(calls: int, rate: int, seed: int) -> bool:
    """Run the demo; return whether every guarantee held."""
    document = read_example('adeyemi')
    places = [
        Place(service, _REGION, f'{_REGION}-{"ab"[index]}')
        for service in document['services']
        for index in range(_NODES_PER_SERVICE)
    ]
    run = DemoRun(seed)
    run.target_latencies_s = {
        rank['name']: rank['target_latency_ms'] / _US_PER_MS
        for rank in document['ranks']
    }
    async with Deployment() as deployment:
        _print_line(
            f'Starting {len(places)} backend servers, each with its node ...'
        )
        await deployment.start(places, document)
        contacts = [str(pair.node) for pair in deployment.pairs]
        async with Client(contacts, 'demonstration') as client:
            await _send_all(run, client, deployment, calls, rate)
        run.check_starts(await _count_starts(deployment))
    _print_table(run)
    return not run.violations


async def _send_all(
    run: DemoRun,
    client: Client,
    deployment: Deployment,
    calls: int,
    rate: int,
) -> None:
    loop = asyncio.get_running_loop()
    first_send_s = loop.time()
    pending: set[asyncio.Task[None]] = set()
    stops: list[asyncio.Task[int]] = []
    for number in range(calls):
        await asyncio.sleep(first_send_s + number / rate - loop.time())
        task = asyncio.create_task(run.call_once(client, number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        if number == calls // 3:
            pair = deployment.pairs[0]
            run.stopped_node = str(pair.node)
            _print_line(f'Stopping node {pair.name} gracefully.')
            key = f'node {pair.name}'
            stop = deployment.stop(key, signal.SIGTERM)
            stops.append(asyncio.create_task(stop))
        if number == calls * 2 // 3:
            pair = deployment.pairs[2]
            _print_line(f'Killing node {pair.name}.')
            await deployment.kill(f'node {pair.name}')
        if number % (calls // _PROGRESS_REPORTS) == 0:
            _print_line(f'{number} of {calls} calls sent.')
    await asyncio.gather(*pending)
    codes = await asyncio.gather(*stops)
    if any(codes):
        run.violations.append(f'graceful stop exited with codes {codes}')


async def _count_starts(deployment: Deployment) -> Counter[str]:
    starts: Counter[str] = Counter()
    for pair in deployment.pairs:
        counters = await deployment.request_control(
            pair.backend_server,
            'GET',
            '/_backend/starts',
        )
        starts.update(counters['starts'])
    return starts


def _print_table(run: DemoRun) -> None:
    head = f'{"service":<10}{"rank":<9}{"calls":>7}{"in target":>11}'
    _print_line(
        f'\n{head}{"p50 ms":>9}{"p99 ms":>9}{"not run":>9}{"unknown":>9}'
    )
    for row, tally in sorted(run.tallies.items()):
        outcomes = tally.outcomes
        calls = outcomes['answered'] + outcomes['not run'] + outcomes['unknown']
        share = outcomes['in target'] / calls
        p50 = tally.latency.get_value_at_percentile(50) / _US_PER_MS
        p99 = tally.latency.get_value_at_percentile(99) / _US_PER_MS
        _print_line(
            f'{row.service:<10}{row.rank:<9}{calls:>7}{share:>11.1%}'
            f'{p50:>9.1f}{p99:>9.1f}{outcomes["not run"]:>9}'
            f'{outcomes["unknown"]:>9}',
        )
    for violation in run.violations:
        _print_line(f'BROKEN: {violation}')
    _print_line(
        'Guarantees broken.' if run.violations else '\nEvery guarantee held.'
    )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main(calls: int = 3000, rate: int = 300, seed: int = 1) -> None:
    """Run the demo.

    Args:
        calls: How many calls to send.
        rate: Calls per second.
        seed: Seed of the random mix of calls.
    """
    sys.exit(0 if asyncio.run(run_demo(calls, rate, seed)) else 1)


if __name__ == '__main__':
    fire.Fire(main)
