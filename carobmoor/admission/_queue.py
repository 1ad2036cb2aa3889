"""The queue of one rank, fair between callers and aware of deadlines.

Deeper calls go first. Among calls of one depth, the caller that has used the
least slot time goes first, and among requests of one caller, the one whose
target expires first. A request that can hardly meet its target any more is
late: it waits behind all that can. Every change takes time logarithmic in the
length of the queue.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from sortedcontainers import SortedList

from carobmoor.admission._messages import Arrival

# A request is late once fewer mean service times than this remain.
_LATE_SERVICE_TIMES: Final = 3
# At most this fraction of the remaining time is reserved for the service.
_MOST_KEPT_FRACTION: Final = 0.5


class Entry(NamedTuple):
    """A waiting request and the times at which it is late and dropped."""

    number: int
    arrival: Arrival
    queued_at_s: float
    # From then on it can hardly meet its target: it is late.
    fresh_until_s: float
    # From then on it can't meet its deadline and is dropped.
    drop_at_s: float


class CallerShare:
    """The on-time requests of one caller and the slot time it has used."""

    def __init__(self, name: str, used_s: float) -> None:
        """Start without requests.

        `used_s` is the most slot time that a caller had used when it was
        served, so that a new caller gets no head start.
        """
        self.name = name
        self.used_s = used_s
        self.in_flight = 0
        self.waiting = 0
        # By depth: (fresh_until_s, number) of each on-time request.
        self.by_depth: dict[int, SortedList] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no on-time request of this caller waits and none runs."""
        return not self.waiting and self.in_flight <= 0


class RankQueue:
    """The waiting requests of one rank."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[int, Entry] = {}
        self._callers: dict[str, CallerShare] = {}
        # By depth: (used_s, caller) of each caller with on-time requests.
        self._turns: dict[int, SortedList] = {}
        # (-depth, deadline_s, number) of each late request.
        self._late: SortedList = SortedList()
        self._fresh: SortedList = SortedList()
        self._drops: SortedList = SortedList()
        # (waiting, caller), to find the caller with the most requests.
        self._sizes: SortedList = SortedList()
        self._used_s = float(0)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    @property
    def deepest(self) -> int:
        """The depth of the next request; `IndexError` if the queue is empty."""
        if self._turns:
            return max(self._turns)
        return -int(self._late[0][0])

    def ahead_of(self, entry: Entry) -> int:
        """Return how many on-time requests of the caller go before this one."""
        caller = self._callers.get(entry.arrival.caller)
        if caller is None or entry.arrival.depth not in caller.by_depth:
            return 0
        backlog = caller.by_depth[entry.arrival.depth]
        return int(backlog.bisect_left((entry.fresh_until_s, entry.number)))

    def push(self, entry: Entry) -> None:
        """Add a request."""
        self._entries[entry.number] = entry
        self._drops.add((entry.drop_at_s, entry.number))
        self._fresh.add((entry.fresh_until_s, entry.number))
        self._add_fresh(entry)

    def pop(self) -> Entry:
        """Remove and return the next request; `IndexError` if empty."""
        if not self._turns:
            return self.remove(self._late[0][-1])
        depth = max(self._turns)
        used_s, name = self._turns[depth][0]
        self._used_s = max(self._used_s, used_s)
        backlog = self._callers[name].by_depth[depth]
        return self.remove(backlog[0][1])

    def remove(self, number: int) -> Entry:
        """Remove and return one request; `KeyError` if it doesn't wait."""
        entry = self._entries.pop(number)
        self._drops.remove((entry.drop_at_s, number))
        if (entry.fresh_until_s, number) in self._fresh:
            self._fresh.remove((entry.fresh_until_s, number))
            self._remove_fresh(entry)
        else:
            self._late.remove(_late_key(entry))
        return entry

    def has(self, number: int) -> bool:
        """Return whether a request waits."""
        return number in self._entries

    def age(self, now_s: float) -> Sequence[Entry]:
        """Mark requests as late, and remove those to drop and return them."""
        while self._fresh and self._fresh[0][0] <= now_s:
            _, number = self._fresh.pop(0)
            entry = self._entries[number]
            self._remove_fresh(entry)
            self._late.add(_late_key(entry))
        dropped: list[Entry] = []
        while self._drops and self._drops[0][0] <= now_s:
            dropped.append(self.remove(self._drops[0][1]))
        return dropped

    def evict(self) -> Entry:
        """Remove and return the least valuable request.

        That is the last late request, or else the last request, at the lowest
        depth, of the caller with the most waiting. Raises `IndexError` if the
        queue is empty.
        """
        if self._late:
            return self.remove(self._late[-1][-1])
        backlogs = self._callers[self._sizes[-1][1]].by_depth
        return self.remove(backlogs[min(backlogs)][-1][1])

    def may_displace(self, caller: str) -> bool:
        """Return whether a new request may evict one from the full queue.

        It may if a request is late, or if its caller would still have fewer
        waiting than the caller with the most.
        """
        if self._late or not self._sizes:
            return bool(self._late)
        own = self._callers.get(caller)
        own_waiting = 0 if own is None else own.waiting
        return own_waiting + 1 < int(self._sizes[-1][0])

    def charge(self, caller: str, used_s: float, in_flight: int) -> None:
        """Add to the used slot time and the number in flight of a caller."""
        share = self._share_of(caller)
        for depth in share.by_depth:
            self._turns[depth].remove((share.used_s, caller))
            self._turns[depth].add((share.used_s + used_s, caller))
        share.used_s += used_s
        share.in_flight += in_flight
        if share.is_idle:
            self._callers.pop(share.name, None)

    def _add_fresh(self, entry: Entry) -> None:
        arrival = entry.arrival
        share = self._share_of(arrival.caller)
        if arrival.depth not in share.by_depth:
            share.by_depth[arrival.depth] = SortedList()
            turns = self._turns.setdefault(arrival.depth, SortedList())
            turns.add((share.used_s, share.name))
        backlog = share.by_depth[arrival.depth]
        backlog.add((entry.fresh_until_s, entry.number))
        self._resize(share, 1)

    def _remove_fresh(self, entry: Entry) -> None:
        depth = entry.arrival.depth
        share = self._callers[entry.arrival.caller]
        backlog = share.by_depth[depth]
        backlog.remove((entry.fresh_until_s, entry.number))
        if not backlog:
            share.by_depth.pop(depth)
            self._turns[depth].remove((share.used_s, share.name))
            if not self._turns[depth]:
                self._turns.pop(depth)
        self._resize(share, -1)
        if share.is_idle:
            self._callers.pop(share.name, None)

    def _resize(self, share: CallerShare, change: int) -> None:
        self._sizes.discard((share.waiting, share.name))
        share.waiting += change
        if share.waiting:
            self._sizes.add((share.waiting, share.name))

    def _share_of(self, caller: str) -> CallerShare:
        share = self._callers.get(caller)
        if share is None:
            share = CallerShare(caller, self._used_s)
            self._callers[caller] = share
        return share


def make_entry(
    number: int,
    arrival: Arrival,
    target_s: float,
    service_time_s: float,
    now_s: float,
) -> Entry:
    """Make the queue entry of an arrival, with its late and drop times."""
    whole_s = arrival.deadline_s - now_s
    if arrival.target_at_s is not None:
        target_s = max(0, arrival.target_at_s - now_s)
    wanted_s = min(target_s, whole_s)
    late_s = min(
        _LATE_SERVICE_TIMES * service_time_s,
        _MOST_KEPT_FRACTION * wanted_s,
    )
    kept_s = min(service_time_s, _MOST_KEPT_FRACTION * whole_s)
    return Entry(
        number,
        arrival,
        now_s,
        now_s + wanted_s - late_s,
        arrival.deadline_s - kept_s,
    )


def _late_key(entry: Entry) -> tuple[int, float, int]:
    arrival = entry.arrival
    return (-arrival.depth, arrival.deadline_s, entry.number)
