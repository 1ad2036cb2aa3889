"""Requests that wait outside the queues until their server is fast again."""

import contextlib
from collections.abc import Iterator

from carobmoor.admission._decide import is_hopeless
from carobmoor.admission._messages import Arrival
from carobmoor.admission._state import AdmissionState
from carobmoor.outcomes import Code


@contextlib.contextmanager
def hold(
    state: AdmissionState, arrival: Arrival, now_s: float
) -> Iterator[Code | None]:
    """Count an arrival as work that waits, until the block ends.

    Yields why it is refused: more work waits than fits into its time.
    """
    if is_hopeless(state, arrival, now_s):
        yield Code.BACKLOG
        return
    state.held_work_s += arrival.service_time_s
    try:
        yield None
    finally:
        state.held_work_s -= arrival.service_time_s
