"""Cost of tickets per call in time, bytes, memory and store writes.

Calls with and without tickets go to the same node in interleaved rounds of
one run; the figures are medians over the rounds.
"""

import asyncio
import statistics
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Final

from carobmoor import Call, Client
from carobmoor.tickets import (
    PresentedRequest,
    Start,
    StoredAnswer,
    TicketPolicy,
    TicketTable,
    admit,
    encode_grant,
    encode_ticket,
    mint,
    record_outcome,
)
from carobmoor.transport import OutgoingRequest, request_json
from stand_ins.deployment import Deployment, Place, ServerPair, read_example

_BODY: Final = b'x' * 140
_US_PER_S: Final = 1_000_000
_DECISIONS: Final = 10_000
_KEYED_CALLS: Final = 50
_TIMEOUT_S: Final = 5


def measure_tickets(rounds: int = 15, calls: int = 200) -> None:
    """Print the cost of tickets per call.

    Args:
        rounds: Interleaved rounds with and without tickets.
        calls: Calls per round, one after the other.
    """
    _measure_table()
    asyncio.run(_measure(rounds, calls))


def _measure_table() -> None:
    policy = TicketPolicy(max_decisions=_DECISIONS)
    table = TicketTable('127.0.0.1:7101', policy, 0)
    grant = table.grant(0)
    ticket = mint(grant, 'request', 'bookings', 0)
    answer = StoredAnswer(200, ((b'content-type', b'application/json'),), _BODY)
    _write_line(f'ticket header: {len(encode_ticket(ticket))} bytes')
    _write_line(f'grant header: {len(encode_grant(grant))} bytes')
    tracemalloc.start()
    for number in range(_DECISIONS):
        _mint_admit_settle(
            table, f'{number:032x}', answer._replace(body=bytes(140))
        )
    stored_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _write_line(
        f'memory: {stored_bytes / _DECISIONS:.0f} bytes per kept decision'
    )
    table = TicketTable('127.0.0.1:7101', policy, 0)
    started_s = time.perf_counter()
    for number in range(_DECISIONS):
        _mint_admit_settle(table, f'{number:032x}', answer)
    elapsed_us = (time.perf_counter() - started_s) / _DECISIONS * _US_PER_S
    _write_line(f'mint, admit and settle: {elapsed_us:.1f} us per call')


def _mint_admit_settle(
    table: TicketTable, request_id: str, answer: StoredAnswer
) -> None:
    ticket = mint(table.grant(0), request_id, 'bookings', 0)
    request = PresentedRequest(request_id, 'bookings', 'digest')
    verdict = admit(table, ticket, request, 0)
    if isinstance(verdict, Start):
        record_outcome(table, verdict.decision, answer)


async def _measure(rounds: int, calls: int) -> None:
    place = Place('bookings', 'lagos', 'lagos-a', service_ms=0)
    async with Deployment() as deployment:
        await deployment.start((place,), read_example('adeyemi'))
        contact = str(deployment.pairs[0].node)
        async with Client((contact,), 'bench') as client:
            await _compare(client, rounds, calls)
        await _measure_store_writes(deployment, deployment.pairs[0])


async def _compare(client: Client, rounds: int, calls: int) -> None:
    with_ticket = Call('bookings', 'POST', '/bench', _BODY)
    without_ticket = with_ticket._replace(repeatable=True)
    medians: tuple[list[float], list[float]] = ([], [])
    for _ in range(rounds):
        for call, medians_us in zip(
            (without_ticket, with_ticket),
            medians,
            strict=True,
        ):
            medians_us.append(await _run_round(client, call, calls))
    added = [
        with_us - without_us
        for without_us, with_us in zip(*medians, strict=True)
    ]
    _write_line(
        f'call without ticket: {statistics.median(medians[0]):.0f} us p50'
    )
    _write_line(f'call with ticket: {statistics.median(medians[1]):.0f} us p50')
    _write_line(f'added by a ticket: {statistics.median(added):.0f} us p50')


async def _run_round(client: Client, call: Call, calls: int) -> float:
    latencies_us: list[float] = []
    for _ in range(calls):
        started_s = time.perf_counter()
        (await client.call(call)).unwrap()
        latencies_us.append((time.perf_counter() - started_s) * _US_PER_S)
    return statistics.median(latencies_us)


async def _measure_store_writes(
    deployment: Deployment, pair: ServerPair
) -> None:
    before = await deployment.request_control(
        deployment.platform, 'GET', '/faults'
    )
    for number in range(_KEYED_CALLS):
        headers: Sequence[tuple[bytes, bytes]] = (
            (b'x-carobmoor-service', b'bookings'),
            (b'idempotency-key', b'bench-%d' % number),
        )
        request = OutgoingRequest('POST', '/bench', headers, _BODY)
        answer = await request_json(
            deployment.pool,
            pair.node,
            request,
            _TIMEOUT_S,
        )
        answer.unwrap()
    after = await deployment.request_control(
        deployment.platform, 'GET', '/faults'
    )
    writes = (after['writes'] - before['writes']) / _KEYED_CALLS
    _write_line(
        f'store writes: {writes:.2f} per keyed call, background included'
    )


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
