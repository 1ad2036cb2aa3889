"""The commands that report on several nodes."""

import asyncio
import importlib
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final
from urllib.parse import quote

import msgspec
from fire.decorators import SetParseFn

from carobmoor.burn import (
    Snapshot,
    calculate_rank_burn,
    decode_snapshots,
    merge_snapshots,
)
from carobmoor.cli._environment import token_headers
from carobmoor.cli._nodes import ask_every_node
from carobmoor.cli._output import fail
from carobmoor.explain import decode_record, render_records
from carobmoor.transport import (
    OutgoingRequest,
)

_FIRST_FAILED_STATUS: Final = 400
# Loaded on demand: it brings a plotting library that no node needs.
_REPORTS: Final = 'carobmoor.reports'
_TIMEOUT_S: Final = 5
_S_PER_MIN: Final = 60
_SNAPSHOTS: Final = OutgoingRequest('GET', '/_carobmoor/burn', ())


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
        burns = [calculate_rank_burn(snapshot, now_min) for snapshot in merged]
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
    asked = await ask_every_node(node, _SNAPSHOTS)
    return [
        snapshot
        for answer in asked
        for snapshot in decode_snapshots(answer.body)
    ]


# An id such as 12e5 is no number.
@SetParseFn(str)
def explain(request_id: str, node: str) -> None:
    """Print the way that one request took, from the nodes that it passed.

    Args:
        request_id: The id, as answers and refusals carry it.
        node: Any node as IP:PORT; the nodes that it knows are asked.
    """
    target = f'/_carobmoor/requests/{quote(request_id, safe="")}'
    request = OutgoingRequest('GET', target, token_headers())
    answers = asyncio.run(ask_every_node(node, request))
    records = [
        decode_record(answer.body)
        for answer in answers
        if answer.head.status < _FIRST_FAILED_STATUS
    ]
    if not records:
        fail(
            f'no node has a record of {request_id}; good requests are kept '
            'by sample and old ones are forgotten',
        )
    sys.stdout.write(f'{render_records(records)}\n')
