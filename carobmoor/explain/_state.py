"""The records that a node keeps, bounded in number."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.explain._messages import RequestRecord

_MOST_BAD: Final = 2000
_MOST_GOOD: Final = 500
_SAMPLED_OF: Final = 64


class RecordState:
    """Bad records and sampled good ones, the oldest forgotten first.

    They are kept apart, so that good requests never push out a bad one.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.bad: OrderedDict[str, RequestRecord] = OrderedDict()
        self.good: OrderedDict[str, RequestRecord] = OrderedDict()


def keep_record(
    state: RecordState, record: RequestRecord, is_bad: bool
) -> None:
    """Keep a bad record, or a good one if its id falls into the sample.

    The sample depends on the id alone, so that every node that a request
    passes keeps it or none does.
    """
    if is_bad:
        _keep(state.bad, record, _MOST_BAD)
    elif is_sampled(record.request_id):
        _keep(state.good, record, _MOST_GOOD)


def is_sampled(request_id: str) -> bool:
    """Tell whether the good record of a request is kept."""
    return xxhash.xxh64_intdigest(request_id.encode()) % _SAMPLED_OF == 0


def find_record(state: RecordState, request_id: str) -> RequestRecord | None:
    """Find the record of a request, if it is kept."""
    return state.bad.get(request_id) or state.good.get(request_id)


def recent_bad(state: RecordState, most: int) -> Sequence[RequestRecord]:
    """Give the newest bad records, newest first."""
    newest = reversed(state.bad.values())
    return [record for _, record in zip(range(most), newest, strict=False)]


def _keep(
    kept: OrderedDict[str, RequestRecord],
    record: RequestRecord,
    most: int,
) -> None:
    kept[record.request_id] = record
    kept.move_to_end(record.request_id)
    if len(kept) > most:
        kept.popitem(last=False)
