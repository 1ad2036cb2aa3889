"""The commands that report on several nodes."""

import asyncio
import importlib
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import msgspec
from result import Err

from carobmoor.burn import (
    Snapshot,
    decode_snapshots,
    judge,
    merge_snapshots,
)
from carobmoor.cli._environment import tls_of_environment
from carobmoor.cli._output import fail
from carobmoor.membership import Standing, decode_members
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    parse_address,
    request_json,
)

# Loaded on demand: it brings a plotting library that no node needs.
_REPORTS: Final = 'carobmoor.reports'
_TIMEOUT_S: Final = 5
_S_PER_MIN: Final = 60
_SNAPSHOTS: Final = OutgoingRequest('GET', '/_carobmoor/burn', ())
_MEMBERS: Final = OutgoingRequest('GET', '/_carobmoor/members', ())


class ReportCommands:
    """Report on what the nodes saw."""

    def burn(
        self,
        node: str = '',
        snapshots: str = '',
        html: str = '',
        save: str = '',
    ) -> None:
        """Report the service-level burn, live or from saved snapshots.

        Args:
            node: Any node as IP:PORT; the nodes that it knows are asked.
            snapshots: A file saved before, instead of live nodes.
            html: Where to write the report as one HTML page.
            save: Where to save the snapshots.
        """
        if bool(node) == bool(snapshots):
            fail('give either --node or --snapshots')
        taken = _read(snapshots) if snapshots else asyncio.run(_ask(node))
        merged = merge_snapshots(taken)
        now_min = int(time.time()) // _S_PER_MIN
        if snapshots:
            now_min = _newest_minute(merged)
        burns = [judge(snapshot, now_min) for snapshot in merged]
        reports = importlib.import_module(_REPORTS)
        sys.stdout.write(f'{reports.render_table(burns)}\n')
        if save:
            Path(save).write_bytes(msgspec.json.encode(merged))
        if html:
            source = node or snapshots
            page = reports.render_page(burns, now_min * _S_PER_MIN, source)
            Path(html).write_text(page, encoding='utf-8')


def _newest_minute(merged: Sequence[Snapshot]) -> int:
    return max(
        (counted.minute for snapshot in merged for counted in snapshot.minutes),
        default=0,
    )


def _read(path: str) -> Sequence[Snapshot]:
    try:
        return decode_snapshots(Path(path).read_bytes())
    except OSError as error:
        fail(f'{path}: {error.strerror}')
    except msgspec.DecodeError as error:
        fail(f'{path}: no saved snapshots: {error}')


async def _ask(node: str) -> Sequence[Snapshot]:
    try:
        first = parse_address(node)
    except ValueError:
        fail(f'{node} is no address; give it as IP:PORT')
    pool = ConnectionPool(tls_of_environment())
    addresses = await _nodes_known_to(pool, first)
    asked = await asyncio.gather(
        *(_snapshots_of(pool, address) for address in addresses),
    )
    pool.close()
    return [snapshot for taken in asked for snapshot in taken]


async def _nodes_known_to(
    pool: ConnectionPool,
    first: Address,
) -> Sequence[Address]:
    told = await request_json(pool, first, _MEMBERS, _TIMEOUT_S)
    if isinstance(told, Err):
        fail(f'{first}: {told.err_value.reason}')
    return [
        parse_address(member.address)
        for member in decode_members(told.ok_value.body)
        if member.standing is not Standing.DEAD
    ]


async def _snapshots_of(
    pool: ConnectionPool,
    address: Address,
) -> Sequence[Snapshot]:
    told = await request_json(pool, address, _SNAPSHOTS, _TIMEOUT_S)
    if isinstance(told, Err):
        sys.stderr.write(f'{address} is left out: {told.err_value.reason}\n')
        return ()
    return decode_snapshots(told.ok_value.body)
