"""The queue of one rank, fair between callers and aware of deadlines.

Deeper calls go first. Among calls of one depth, the caller that has used the
least slot time for its weight goes first, and among requests of one caller, the
one whose target expires first. A request that can hardly meet its target any
more is late: it waits behind all that can. Every change takes time logarithmic
in the length of the queue.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from sortedcontainers import SortedList

from carobmoor.admission._callers import CallerQueue, Callers
from carobmoor.admission._messages import Arrival

# A request is late once fewer mean service times than this remain.
_LATE_SERVICE_TIMES: Final = 3
# At most this fraction of the time to the target or to the deadline is
# reserved for the service.
_MAX_RESERVED_FRACTION: Final = 0.5


class QueueEntry(NamedTuple):
    """A waiting request and the times at which it is late and dropped."""

    number: int
    arrival: Arrival
    queued_at_s: float
    # From then on it can hardly meet its target: it is late.
    late_at_s: float
    # From then on it can't meet its deadline and is dropped.
    drop_at_s: float


class RankQueue:
    """The waiting requests of one rank."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[int, QueueEntry] = {}
        self._callers = Callers()
        # By depth: (used_s, caller) of each caller with on-time requests.
        self._callers_by_depth: dict[int, SortedList] = {}
        # (-depth, deadline_s, number) of each late request.
        self.late: SortedList = SortedList()
        self.on_time: SortedList = SortedList()
        self._drop_times: SortedList = SortedList()
        # (relative waiting, caller), to find the caller with the most.
        self._waiting_counts: SortedList = SortedList()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.entries)

    @property
    def next_depth(self) -> int:
        """The depth of the next request; `IndexError` if the queue is empty."""
        if self._callers_by_depth:
            return max(self._callers_by_depth)
        return -int(self.late[0][0])

    def count_ahead_of(self, entry: QueueEntry) -> int:
        """Return how many on-time requests of its caller and depth go first."""
        caller = self._callers.by_name.get(entry.arrival.caller)
        if caller is None or entry.arrival.depth not in caller.by_depth:
            return 0
        backlog = caller.by_depth[entry.arrival.depth]
        return int(backlog.bisect_left((entry.late_at_s, entry.number)))

    def push(self, entry: QueueEntry) -> None:
        """Add a request as on time; `demote_and_expire` checks that later."""
        self.entries[entry.number] = entry
        self._drop_times.add((entry.drop_at_s, entry.number))
        self.on_time.add((entry.late_at_s, entry.number))
        self._add_on_time(entry)

    def pop(self) -> QueueEntry:
        """Remove and return the next request; `IndexError` if empty."""
        if not self._callers_by_depth:
            return self.remove(self.late[0][-1])
        depth = max(self._callers_by_depth)
        used_s, name = self._callers_by_depth[depth][0]
        self._callers.advance(used_s)
        caller_queue = self._callers.by_name[name]
        return self.remove(caller_queue.by_depth[depth][0][1])

    def remove(self, number: int) -> QueueEntry:
        """Remove and return one request; `KeyError` if it doesn't wait."""
        entry = self.entries.pop(number)
        self._drop_times.remove((entry.drop_at_s, number))
        if (entry.late_at_s, number) in self.on_time:
            self.on_time.remove((entry.late_at_s, number))
            self._remove_on_time(entry)
        else:
            self.late.remove(_late_key(entry))
        return entry

    def has(self, number: int) -> bool:
        """Return whether a request waits."""
        return number in self.entries

    def demote_and_expire(self, now_s: float) -> Sequence[QueueEntry]:
        """Mark requests as late, and remove those to drop and return them."""
        while self.on_time and self.on_time[0][0] <= now_s:
            _, number = self.on_time.pop(0)
            entry = self.entries[number]
            self._remove_on_time(entry)
            self.late.add(_late_key(entry))
        dropped: list[QueueEntry] = []
        while self._drop_times and self._drop_times[0][0] <= now_s:
            dropped.append(self.remove(self._drop_times[0][1]))
        return dropped

    def evict(self) -> QueueEntry:
        """Remove and return the least valuable request.

        That is the last late request, or else the last request, at the lowest
        depth, of the caller with the most waiting. Raises `IndexError` if the
        queue is empty.
        """
        if self.late:
            return self.remove(self.late[-1][-1])
        name = self._waiting_counts[-1][1]
        backlogs = self._callers.by_name[name].by_depth
        return self.remove(backlogs[min(backlogs)][-1][1])

    def may_displace(self, arrival: Arrival) -> bool:
        """Return whether a new request may evict one from the full queue.

        It may if a request is late, or if its caller would still have fewer
        waiting for its weight than the caller with the most.
        """
        if self.late or not self._waiting_counts:
            return bool(self.late)
        own = self._callers.by_name.get(arrival.caller)
        own_waiting = 0 if own is None else own.waiting
        most = float(self._waiting_counts[-1][0])
        return (own_waiting + 1) / (arrival.weight or 1) < most

    def charge(self, arrival: Arrival, used_s: float, in_flight: int) -> None:
        """Add to the used slot time and the number in flight of a caller."""
        caller_queue = self._callers.get_or_add(arrival)
        before_s = caller_queue.used_s
        if in_flight > 0 and caller_queue.is_weighted:
            # Starts without a wait count as well, or what a caller uses while
            # slots are free would be held against it later.
            self._callers.advance(before_s)
        caller_queue.used_s += used_s / caller_queue.weight
        for depth in caller_queue.by_depth:
            callers = self._callers_by_depth[depth]
            callers.remove((before_s, arrival.caller))
            callers.add((caller_queue.used_s, arrival.caller))
        caller_queue.in_flight += in_flight
        self._callers.retire_if_idle(caller_queue)

    def _add_on_time(self, entry: QueueEntry) -> None:
        arrival = entry.arrival
        caller_queue = self._callers.get_or_add(arrival)
        if arrival.depth not in caller_queue.by_depth:
            caller_queue.by_depth[arrival.depth] = SortedList()
            callers_at_depth = self._callers_by_depth.setdefault(
                arrival.depth, SortedList()
            )
            callers_at_depth.add((caller_queue.used_s, caller_queue.name))
        backlog = caller_queue.by_depth[arrival.depth]
        backlog.add((entry.late_at_s, entry.number))
        self._change_waiting(caller_queue, 1)

    def _remove_on_time(self, entry: QueueEntry) -> None:
        depth = entry.arrival.depth
        caller_queue = self._callers.by_name[entry.arrival.caller]
        backlog = caller_queue.by_depth[depth]
        backlog.remove((entry.late_at_s, entry.number))
        if not backlog:
            caller_queue.by_depth.pop(depth)
            self._callers_by_depth[depth].remove(
                (caller_queue.used_s, caller_queue.name)
            )
            if not self._callers_by_depth[depth]:
                self._callers_by_depth.pop(depth)
        self._change_waiting(caller_queue, -1)
        self._callers.retire_if_idle(caller_queue)

    def _change_waiting(self, caller_queue: CallerQueue, change: int) -> None:
        name = caller_queue.name
        self._waiting_counts.discard((caller_queue.relative_waiting, name))
        caller_queue.waiting += change
        if caller_queue.waiting:
            self._waiting_counts.add((caller_queue.relative_waiting, name))


def entries_in_order(
    queue: RankQueue, newcomer: QueueEntry | None = None
) -> list[QueueEntry]:
    """Return the requests as if they were all of one caller and depth.

    A newcomer that does not wait yet is included, as on time.
    """
    on_time = [queue.entries[number] for _, number in queue.on_time]
    if newcomer is not None:
        on_time.append(newcomer)
        on_time.sort(key=lambda entry: (entry.late_at_s, entry.number))
    return on_time + [queue.entries[key[-1]] for key in queue.late]


def make_entry(
    number: int,
    arrival: Arrival,
    target_s: float,
    service_time_s: float,
    now_s: float,
) -> QueueEntry:
    """Make the queue entry of an arrival, with its late and drop times."""
    remaining_s = arrival.deadline_s - now_s
    if arrival.target_at_s is not None:
        target_s = max(0, arrival.target_at_s - now_s)
    effective_target_s = min(target_s, remaining_s)
    late_margin_s = min(
        _LATE_SERVICE_TIMES * service_time_s,
        _MAX_RESERVED_FRACTION * effective_target_s,
    )
    reserved_s = min(service_time_s, _MAX_RESERVED_FRACTION * remaining_s)
    return QueueEntry(
        number,
        arrival,
        now_s,
        now_s + effective_target_s - late_margin_s,
        arrival.deadline_s - reserved_s,
    )


def _late_key(entry: QueueEntry) -> tuple[int, float, int]:
    arrival = entry.arrival
    return (-arrival.depth, arrival.deadline_s, entry.number)
