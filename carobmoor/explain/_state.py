"""The bounded collection of request records that a node keeps."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.explain._messages import RequestRecord

_MAX_BAD_RECORDS: Final = 2000
_MAX_GOOD_RECORDS: Final = 500
_SAMPLE_ONE_IN: Final = 64


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
        _add_bounded(state.bad, record, _MAX_BAD_RECORDS)
    elif is_sampled(record.request_id):
        _add_bounded(state.good, record, _MAX_GOOD_RECORDS)


def is_sampled(request_id: str) -> bool:
    """Return whether the sample of good requests includes this one."""
    return xxhash.xxh64_intdigest(request_id.encode()) % _SAMPLE_ONE_IN == 0


def find_record(state: RecordState, request_id: str) -> RequestRecord | None:
    """Return the record of a request, or `None` if there is none."""
    return state.bad.get(request_id) or state.good.get(request_id)


def list_bad_records(
    state: RecordState, max_records: int
) -> Sequence[RequestRecord]:
    """Return the latest records of bad requests, newest first."""
    newest = reversed(state.bad.values())
    return [
        record for _, record in zip(range(max_records), newest, strict=False)
    ]


def _add_bounded(
    records: OrderedDict[str, RequestRecord],
    record: RequestRecord,
    max_records: int,
) -> None:
    records[record.request_id] = record
    records.move_to_end(record.request_id)
    if len(records) > max_records:
        records.popitem(last=False)
