"""The bounded collection of request records that a node keeps."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.explain._messages import RequestRecord

_MOST_BAD: Final = 2000
_MOST_GOOD: Final = 500
_SAMPLED_OF: Final = 64


class RecordState:
    """Records of bad requests and of a sample of good ones.

    The oldest are evicted first. The two kinds are kept apart, so that good
    requests never evict a bad one.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self.bad: OrderedDict[str, RequestRecord] = OrderedDict()
        self.good: OrderedDict[str, RequestRecord] = OrderedDict()


def keep_record(
    state: RecordState, record: RequestRecord, is_bad: bool
) -> None:
    """Keep the record of a bad request, or of a good one in the sample.

    The sample depends on the request id alone, so that either every node that
    processes a request keeps its record or none does.
    """
    if is_bad:
        _keep(state.bad, record, _MOST_BAD)
    elif is_sampled(record.request_id):
        _keep(state.good, record, _MOST_GOOD)


def is_sampled(request_id: str) -> bool:
    """Return whether the sample of good requests includes this one."""
    return xxhash.xxh64_intdigest(request_id.encode()) % _SAMPLED_OF == 0


def find_record(state: RecordState, request_id: str) -> RequestRecord | None:
    """Return the record of a request, or `None` if there is none."""
    return state.bad.get(request_id) or state.good.get(request_id)


def recent_bad(state: RecordState, most: int) -> Sequence[RequestRecord]:
    """Return the latest records of bad requests, newest first."""
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
