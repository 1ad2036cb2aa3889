"""Discrete-event simulation of admission with one backend server.

Nothing here waits: events are taken from a heap in the order of their time,
so one seed always gives the same figures.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final, NamedTuple, Protocol

from result import Err

from carobmoor.admission import (
    AdmissionPolicy,
    AdmissionState,
    Arrival,
    Verdict,
    expire,
    finish,
    offer,
    start_next,
)

TICK_S: Final = 0.005
_MS_PER_S: Final = 1000


class Stream(NamedTuple):
    """Requests of one rank that arrive at random."""

    rank: str
    rate_per_s: float
    deadline_s: float
    callers: int = 8
    service_s: float = 0.01
    # Fraction sent by one noisy caller; the rest is spread evenly.
    noisy_part: float = 0
    from_s: float = 0


class Backend(NamedTuple):
    """A simulated backend server.

    From `slow_from_s` on, every request takes `slowdown` times as long, and
    longer still if it starts while more than `cores` are in flight.
    """

    slots: int
    cores: int = 10_000
    slow_from_s: float = 1_000_000
    slowdown: float = 1
    # At 1 a crowded server keeps its throughput; above 1 it loses some.
    crowding_exponent: float = 1

    def service_s(
        self,
        mean_s: float,
        in_flight: int,
        now_s: float,
        rng: random.Random,
    ) -> float:
        """Return a random service time."""
        drawn_s = rng.expovariate(1) * mean_s
        if now_s < self.slow_from_s:
            return drawn_s
        crowding = max(1, in_flight / self.cores) ** self.crowding_exponent
        return drawn_s * self.slowdown * crowding


class Outcome(NamedTuple):
    """Result of one request; `ended_s` is 0 if it did not run."""

    arrival: Arrival
    came_s: float
    ended_s: float
    service_s: float


class QueueingDiscipline(Protocol):
    """Queueing discipline: decides which requests run and when."""

    def offer(self, arrival: Arrival, now_s: float) -> int:
        """Offer a request; return its number, or 0 if it is refused."""

    def finish(self, number: int, service_s: float, now_s: float) -> None:
        """Free the slot of a finished request."""

    def start(self, now_s: float) -> Sequence[int]:
        """Return the numbers of the requests that start now."""

    def expire(self, now_s: float) -> Sequence[int]:
        """Return the numbers of the requests dropped since the last call."""


class Carobmoor:
    """Queueing by the admission decisions of carobmoor."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        """Start without requests."""
        self.state = AdmissionState(policy)
        self._started: list[int] = []
        self._dropped: list[int] = []

    def offer(self, arrival: Arrival, now_s: float) -> int:
        """Offer a request; return its number, or 0 if it is refused."""
        offered = offer(self.state, arrival, now_s)
        if isinstance(offered, Err):
            return 0
        placement = offered.ok_value
        if placement.evicted is not None:
            self._dropped.append(placement.evicted.number)
        if placement.verdict is Verdict.STARTED:
            self._started.append(placement.number)
        return placement.number

    def finish(self, number: int, service_s: float, now_s: float) -> None:
        """Free the slot of a finished request."""
        finish(self.state, number, service_s, now_s)

    def start(self, now_s: float) -> Sequence[int]:
        """Drop the requests past their deadline, then start the next ones."""
        self._dropped.extend(drop.number for drop in expire(self.state, now_s))
        grants = start_next(self.state, now_s)
        started = [*self._started, *(grant.number for grant in grants)]
        self._started = []
        return started

    def expire(self, now_s: float) -> Sequence[int]:
        """Return the numbers of the requests dropped since the last call."""
        dropped = self._dropped
        self._dropped = []
        return dropped


class FixedOrderQueues:
    """Baseline: bounded queues served in a fixed order of ranks."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        queue_name_of: Callable[[str], str],
    ) -> None:
        """Create the queues that `queue_name_of` names, in order of ranks."""
        self._policy = policy
        self._queue_name_of = queue_name_of
        self._queues: dict[str, deque[tuple[int, Arrival]]] = {}
        for rank in policy.ranks:
            self._queues.setdefault(queue_name_of(rank.name), deque())
        self._numbers = itertools.count(1)
        self._in_flight = 0
        self._dropped: list[int] = []

    def offer(self, arrival: Arrival, now_s: float) -> int:
        """Queue a request unless its queue is full.

        Each queue has the whole queue limit to itself.
        """
        queue = self._queues[self._queue_name_of(arrival.rank)]
        if len(queue) >= self._policy.queue_limit:
            return 0
        number = next(self._numbers)
        queue.append((number, arrival))
        return number

    def finish(self, number: int, service_s: float, now_s: float) -> None:
        """Free the slot of a finished request."""
        self._in_flight -= 1

    def start(self, now_s: float) -> Sequence[int]:
        """Start requests in order, dropping those past their deadline."""
        started = []
        while self._in_flight < self._policy.slots:
            waiting = next(filter(None, self._queues.values()), None)
            if waiting is None:
                break
            number, arrival = waiting.popleft()
            if arrival.deadline_s <= now_s:
                self._dropped.append(number)
                continue
            self._in_flight += 1
            started.append(number)
        return started

    def expire(self, now_s: float) -> Sequence[int]:
        """Return the numbers of the requests dropped since the last call."""
        dropped = self._dropped
        self._dropped = []
        return dropped


def make_fifo(policy: AdmissionPolicy) -> QueueingDiscipline:
    """Return the first-in-first-out baseline."""
    return FixedOrderQueues(policy, lambda _: 'all')


def make_strict_priority(policy: AdmissionPolicy) -> QueueingDiscipline:
    """Return the strict-priority baseline."""
    return FixedOrderQueues(policy, lambda rank: rank)


DISCIPLINES: Final[
    Mapping[str, Callable[[AdmissionPolicy], QueueingDiscipline]]
] = MappingProxyType(
    {'fifo': make_fifo, 'strict': make_strict_priority, 'carobmoor': Carobmoor},
)


class Run:
    """One simulated run of request streams through a queueing discipline."""

    def __init__(
        self, discipline: QueueingDiscipline, backend: Backend, seed: int
    ) -> None:
        """Prepare a run that starts at time zero."""
        self.outcomes: list[Outcome] = []
        self.most_in_flight = 0
        self._discipline = discipline
        self._backend = backend
        self._rng = random.Random(seed)
        self._waiting: dict[int, tuple[Arrival, float, float]] = {}
        self._running: dict[int, tuple[Arrival, float, float]] = {}
        self._end_events: list[tuple[float, int]] = []

    def drive(self, streams: Sequence[Stream], until_s: float) -> None:
        """Send requests until `until_s`, then let those in flight end."""
        arrivals = heapq.merge(
            *(self._generate_arrivals(stream, until_s) for stream in streams),
            key=lambda event: event[0],
        )
        tick_s = TICK_S
        for came_s, arrival, service_s in arrivals:
            while tick_s <= came_s:
                self._finish_until(tick_s)
                self._start_and_drop(tick_s)
                tick_s += TICK_S
            self._finish_until(came_s)
            self._offer(arrival, came_s, service_s)
        self._finish_until(until_s + 3600)
        for arrival, came_s, _ in self._waiting.values():
            self.outcomes.append(Outcome(arrival, came_s, 0, 0))

    def _generate_arrivals(
        self,
        stream: Stream,
        until_s: float,
    ) -> Iterator[tuple[float, Arrival, float]]:
        rng = random.Random(self._rng.random())
        now_s = stream.from_s + rng.expovariate(stream.rate_per_s)
        while now_s < until_s:
            caller = f'{stream.rank}-{rng.randrange(stream.callers)}'
            if rng.random() < stream.noisy_part:
                caller = 'noisy'
            deadline_s = now_s + stream.deadline_s
            arrival = Arrival('', stream.rank, caller, 0, deadline_s)
            yield now_s, arrival, stream.service_s
            now_s += rng.expovariate(stream.rate_per_s)

    def _offer(
        self,
        arrival: Arrival,
        now_s: float,
        service_s: float,
    ) -> None:
        number = self._discipline.offer(arrival, now_s)
        if number:
            self._waiting[number] = (arrival, now_s, service_s)
        else:
            self.outcomes.append(Outcome(arrival, now_s, 0, 0))
        self._start_and_drop(now_s)

    def _start_and_drop(self, now_s: float) -> None:
        for number in self._discipline.start(now_s):
            arrival, came_s, mean_s = self._waiting.pop(number)
            in_flight = len(self._running) + 1
            self.most_in_flight = max(self.most_in_flight, in_flight)
            service_s = self._backend.service_s(
                mean_s,
                in_flight,
                now_s,
                self._rng,
            )
            self._running[number] = (arrival, came_s, service_s)
            heapq.heappush(self._end_events, (now_s + service_s, number))
        for number in self._discipline.expire(now_s):
            arrival, came_s, _ = self._waiting.pop(number)
            self.outcomes.append(Outcome(arrival, came_s, 0, 0))

    def _finish_until(self, now_s: float) -> None:
        while self._end_events and self._end_events[0][0] <= now_s:
            ended_s, number = heapq.heappop(self._end_events)
            arrival, came_s, service_s = self._running.pop(number)
            self._discipline.finish(number, service_s, ended_s)
            self.outcomes.append(Outcome(arrival, came_s, ended_s, service_s))
            self._start_and_drop(ended_s)
