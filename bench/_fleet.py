"""A small fake of one service: owners with slots and queues, and callers.

Time is stepped from event to event, so that a run gives the same figures on
every machine.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from carobmoor.routing import (
    BackendStatistics,
    LoadReport,
    outcome_age_ms,
    record_served_request,
    service_time_us,
    success_permille,
)

_NETWORK_S = 0.0005
_FAIL_S = 0.0003
_SNAPSHOT_S = 0.01
_PROBE_INTERVAL_S = 0.1


class Fleet(NamedTuple):
    """The size of the fake and the load on it."""

    servers: int = 6
    slots: int = 9
    service_s: float = 0.02
    callers: int = 20
    calls_per_s: float = 1200
    run_s: float = 30
    # How old a report is when it leaves its owner.
    report_lag_s: float = 0
    # The unit of service times: True draws them from an exponential.
    spread: bool = True


class Fault(NamedTuple):
    """What befalls one server, from when to when."""

    kind: str = 'none'
    server: int = 0
    from_s: float = 10
    until_s: float = 1000
    slowdown: float = 10
    # What the server's own health endpoint says; nobody should believe it.
    health: str = 'honest'


class Done(NamedTuple):
    """One call that ended."""

    started_s: float
    ended_s: float
    server: int
    succeeded: bool


class Policy(NamedTuple):
    """How a caller chooses, and what it is told of the end of each call."""

    choose: Callable[[int, float], int]
    ended: Callable[[int, int, bool, LoadReport, float], None]
    # Names the server that a caller asks for a report; -1 for nobody.
    probe: Callable[[int, float], int] | None = None
    probed: Callable[[int, int, LoadReport, float], None] | None = None


class Server:
    """The slots and the queue of one fake backend server."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        """Start idle."""
        self.number = number
        self.fleet = fleet
        self.in_flight = 0
        self.queue: deque[tuple[int, float]] = deque()
        self.record = BackendStatistics()
        self.snapshots: deque[tuple[float, LoadReport]] = deque()

    def report(self, now_s: float) -> LoadReport:
        """Give the report that leaves now, as old as the fleet's lag."""
        if not self.fleet.report_lag_s:
            return self._fresh(now_s)
        if not self.snapshots or now_s - self.snapshots[-1][0] > _SNAPSHOT_S:
            self.snapshots.append((now_s, self._fresh(now_s)))
        oldest_s = now_s - self.fleet.report_lag_s
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= oldest_s:
            self.snapshots.popleft()
        return self.snapshots[0][1]

    def _fresh(self, now_s: float) -> LoadReport:
        return LoadReport(
            self.fleet.slots,
            self.in_flight,
            len(self.queue),
            service_time_us(self.record),
            False,
            success_permille(self.record, now_s),
            outcome_age_ms(self.record, now_s),
        )


class Run:
    """One run of a fleet under a fault with a policy."""

    def __init__(
        self,
        fleet: Fleet,
        fault: Fault,
        policy: Policy,
        seed: int,
    ) -> None:
        """Draw the arrivals; the same seed draws the same ones."""
        self.fleet = fleet
        self.fault = fault
        self.policy = policy
        self.rng = random.Random(seed)
        self.servers = [Server(fleet, one) for one in range(fleet.servers)]
        self.done: list[Done] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0

    def run(self) -> Sequence[Done]:
        """Step through every event."""
        at_s = float(0)
        while at_s < self.fleet.run_s:
            at_s += self.rng.expovariate(self.fleet.calls_per_s)
            caller = self.rng.randrange(self.fleet.callers)
            work = self.rng.expovariate(1) if self.fleet.spread else 1.0
            self._at(at_s, self._arrival(caller, work))
        if self.policy.probe is not None:
            for caller in range(self.fleet.callers):
                self._at(caller * _PROBE_INTERVAL_S, self._probe(caller))
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)
        return self.done

    def _at(self, at_s: float, event: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, event))

    def _probe(self, caller: int) -> Callable[[float], None]:
        policy = self.policy

        def ask(now_s: float) -> None:
            assert policy.probe is not None
            server = policy.probe(caller, now_s)
            if server >= 0 and not self._faulty(
                self.servers[server], now_s, 'dead'
            ):
                report = self.servers[server].report(now_s + _NETWORK_S)
                self._at(now_s + 2 * _NETWORK_S, hear(server, report))
            if now_s < self.fleet.run_s:
                self._at(now_s + _PROBE_INTERVAL_S, ask)

        def hear(server: int, report: LoadReport) -> Callable[[float], None]:
            def heard(now_s: float) -> None:
                assert policy.probed is not None
                policy.probed(caller, server, report, now_s)

            return heard

        return ask

    def _arrival(self, caller: int, work: float) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            chosen = self.policy.choose(caller, now_s)
            server = self.servers[chosen]

            def reach(reached_s: float) -> None:
                self._reach(server, caller, work, now_s, reached_s)

            self._at(now_s + _NETWORK_S, reach)

        return arrive

    def _reach(
        self,
        server: Server,
        caller: int,
        work: float,
        started_s: float,
        now_s: float,
    ) -> None:
        if self._faulty(server, now_s, 'fails'):
            record_served_request(server.record, False, _FAIL_S, now_s)
            back_s = now_s + _FAIL_S + _NETWORK_S
            self._answer(server, caller, started_s, back_s, False)
        elif self._faulty(server, now_s, 'dead'):
            back_s = now_s + _NETWORK_S
            self._answer(server, caller, started_s, back_s, False)
        elif server.in_flight < self.fleet.slots:
            self._start(server, caller, work, started_s, now_s)
        else:
            server.queue.append((caller, started_s))

    def _start(
        self,
        server: Server,
        caller: int,
        work: float,
        started_s: float,
        now_s: float,
    ) -> None:
        server.in_flight += 1
        service_s = self.fleet.service_s * work
        if self._faulty(server, now_s, 'slow'):
            service_s *= self.fault.slowdown

        def finish(ended_s: float) -> None:
            server.in_flight -= 1
            record_served_request(server.record, True, service_s, ended_s)
            back_s = ended_s + _NETWORK_S
            self._answer(server, caller, started_s, back_s, True)
            if server.queue:
                waiting, since_s = server.queue.popleft()
                drawn = self.rng.expovariate(1) if self.fleet.spread else 1.0
                self._start(server, waiting, drawn, since_s, ended_s)

        self._at(now_s + service_s, finish)

    def _answer(
        self,
        server: Server,
        caller: int,
        started_s: float,
        back_s: float,
        succeeded: bool,
    ) -> None:
        report = server.report(back_s)

        def come_back(now_s: float) -> None:
            one = Done(started_s, now_s, server.number, succeeded)
            self.done.append(one)
            self.policy.ended(caller, server.number, succeeded, report, now_s)

        self._at(back_s, come_back)

    def _faulty(self, server: Server, now_s: float, kind: str) -> bool:
        fault = self.fault
        hit = fault.kind == kind and fault.server == server.number
        return hit and fault.from_s <= now_s < fault.until_s
