"""Waiting requests that the limits of their server start too late."""

from collections.abc import Iterable
from typing import Final

from carobmoor.admission._queue import QueueEntry
from carobmoor.admission._ranks import RankState
from carobmoor.admission._state import AdmissionState

# Covers the interval at which waiting requests are started, and the hop back.
START_MARGIN_S: Final = 0.05


def find_unreachable(
    state: AdmissionState,
    rank: RankState,
    entries: Iterable[QueueEntry],
    now_s: float,
    margin_s: float = 0,
) -> list[QueueEntry]:
    """Return which of a rank's requests, in their order, start too late.

    The requests of more urgent ranks go first. Without a limit, the list is
    empty. Requests that wait have been accepted, so a newcomer is refused if
    it makes any of them late. Only that check passes `margin_s`, the time that
    must be left after each start: it leaves room for starts that come a little
    later than was expected.
    """
    if not state.has_start_limit(now_s):
        return []
    ahead = _count_more_urgent(state, rank)
    unreachable: list[QueueEntry] = []
    for entry in entries:
        starts_at_s = now_s + state.start_wait_s(ahead, now_s)
        if starts_at_s + margin_s >= entry.drop_at_s:
            unreachable.append(entry)
        else:
            ahead += 1
    return unreachable


def _count_more_urgent(state: AdmissionState, rank: RankState) -> int:
    """Return how many requests of more urgent ranks wait."""
    waiting = 0
    for other in state.ranks.values():
        if other is rank:
            break
        waiting += len(other.queue)
    return waiting
