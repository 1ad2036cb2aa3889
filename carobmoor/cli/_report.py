"""Commands that collect data from several nodes."""

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

_MIN_ERROR_STATUS: Final = 400
# Imported on demand: it loads a plotting library that no node needs.
_REPORTS_MODULE: Final = 'carobmoor.reports'
_TIMEOUT_S: Final = 5
_S_PER_MIN: Final = 60
_SNAPSHOTS_REQUEST: Final = OutgoingRequest('GET', '/_carobmoor/burn', ())


class ReportCommands:
    """Report on the service levels that the nodes measured."""

    def burn(
        self,
        node: str = '',
        snapshots: str = '',
        html: str = '',
        save: str = '',
    ) -> None:
        """Report how fast each rank of each service burns its error budget.

        Reads either live nodes or saved snapshots.

        Args:
            node: Address of any node as IP:PORT; all nodes it knows are asked.
            snapshots: File that `--save` wrote, read instead of live nodes.
            html: File to write the report to as one HTML page.
            save: File to save the snapshots to.
        """
        if bool(node) == bool(snapshots):
            fail('specify exactly one of --node and --snapshots')
        collected = (
            _read_snapshots(snapshots)
            if snapshots
            else asyncio.run(_fetch_snapshots(node))
        )
        merged = merge_snapshots(collected)
        now_min = int(time.time()) // _S_PER_MIN
        if snapshots:
            now_min = _newest_minute(merged)
        burns = [calculate_rank_burn(snapshot, now_min) for snapshot in merged]
        reports = importlib.import_module(_REPORTS_MODULE)
        sys.stdout.write(f'{reports.render_table(burns)}\n')
        if save:
            Path(save).write_bytes(msgspec.json.encode(merged))
        if html:
            source = node or snapshots
            page = reports.render_page(burns, now_min * _S_PER_MIN, source)
            Path(html).write_text(page, encoding='utf-8')


def _newest_minute(merged: Sequence[Snapshot]) -> int:
    return max(
        (
            minute_count.minute
            for snapshot in merged
            for minute_count in snapshot.minutes
        ),
        default=0,
    )


def _read_snapshots(path: str) -> Sequence[Snapshot]:
    try:
        return decode_snapshots(Path(path).read_bytes())
    except OSError as error:
        fail(f'cannot read {path}: {error.strerror}')
    except msgspec.DecodeError as error:
        fail(f'{path} is not a file of saved snapshots: {error}')


async def _fetch_snapshots(node: str) -> Sequence[Snapshot]:
    node_answers = await ask_every_node(node, _SNAPSHOTS_REQUEST)
    return [
        snapshot
        for answer in node_answers
        for snapshot in decode_snapshots(answer.body)
    ]


# Keeps `fire` from parsing an id such as 12e5 as a number.
@SetParseFn(str)
def explain(request_id: str, node: str) -> None:
    """Print how each node that handled a request processed it.

    Args:
        request_id: Id of the request, as answers and refusals carry it.
        node: Address of any node as IP:PORT; all nodes it knows are asked.
    """
    target = f'/_carobmoor/requests/{quote(request_id, safe="")}'
    request = OutgoingRequest('GET', target, token_headers())
    answers = asyncio.run(ask_every_node(node, request))
    records = [
        decode_record(answer.body)
        for answer in answers
        if answer.head.status < _MIN_ERROR_STATUS
    ]
    if not records:
        fail(
            f'no node has a record of request {request_id}; only a sample of '
            'good requests is recorded, and old records are evicted',
        )
    sys.stdout.write(f'{render_records(records)}\n')
