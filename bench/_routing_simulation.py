"""Discrete-event simulation of one service: backend servers and callers.

Each backend server has slots and a queue. Time advances from event to event, so
a run gives the same figures on every machine.
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

_NETWORK_DELAY_S = 0.0005
_FAILURE_S = 0.0003
_SNAPSHOT_INTERVAL_S = 0.01
_PROBE_INTERVAL_S = 0.1


class SimulatedService(NamedTuple):
    """Size of the simulated service and the load on it."""

    server_count: int = 6
    slots: int = 9
    service_s: float = 0.02
    caller_count: int = 20
    calls_per_s: float = 1200
    duration_s: float = 30
    # Age of a load report when it is sent.
    report_lag_s: float = 0
    # Whether service times are exponentially distributed or constant.
    has_random_service_times: bool = True


class Fault(NamedTuple):
    """A fault of one server between two times."""

    kind: str = 'none'
    server: int = 0
    from_s: float = 10
    until_s: float = 1000
    slowdown: float = 10
    # What the server's own health endpoint reports, which may be wrong; no
    # policy should rely on it.
    health: str = 'honest'


class CompletedCall(NamedTuple):
    """A completed call."""

    started_s: float
    ended_s: float
    server: int
    is_successful: bool


class Policy(NamedTuple):
    """How callers choose a server, and what they record of calls and probes."""

    choose: Callable[[int, float], int]
    record_end: Callable[[int, int, bool, LoadReport, float], None]
    # Returns the server that a caller probes for a report; -1 for none.
    choose_probe_target: Callable[[int, float], int] | None = None
    record_probe: Callable[[int, int, LoadReport, float], None] | None = None


class Server:
    """Slots and queue of one simulated backend server."""

    def __init__(self, service: SimulatedService, number: int) -> None:
        """Create an idle server."""
        self.number = number
        self.service = service
        self.in_flight = 0
        self.queue: deque[tuple[int, float]] = deque()
        self.record = BackendStatistics()
        self.snapshots: deque[tuple[float, LoadReport]] = deque()

    def report(self, now_s: float) -> LoadReport:
        """Return the report sent now, as old as the service's report lag."""
        if not self.service.report_lag_s:
            return self._current_report(now_s)
        if (
            not self.snapshots
            or now_s - self.snapshots[-1][0] > _SNAPSHOT_INTERVAL_S
        ):
            self.snapshots.append((now_s, self._current_report(now_s)))
        oldest_s = now_s - self.service.report_lag_s
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= oldest_s:
            self.snapshots.popleft()
        return self.snapshots[0][1]

    def _current_report(self, now_s: float) -> LoadReport:
        return LoadReport(
            self.service.slots,
            self.in_flight,
            len(self.queue),
            service_time_us(self.record),
            False,
            success_permille(self.record, now_s),
            outcome_age_ms(self.record, now_s),
        )


class Simulation:
    """One simulated run of a service with one fault and one policy."""

    def __init__(
        self,
        service: SimulatedService,
        fault: Fault,
        policy: Policy,
        seed: int,
    ) -> None:
        """Seed the run; the same seed draws the same arrivals."""
        self.service = service
        self.fault = fault
        self.policy = policy
        self.rng = random.Random(seed)
        self.servers = [
            Server(service, number) for number in range(service.server_count)
        ]
        self.completed: list[CompletedCall] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_count = 0

    def run(self) -> Sequence[CompletedCall]:
        """Simulate all events and return the completed calls."""
        at_s = float(0)
        while at_s < self.service.duration_s:
            at_s += self.rng.expovariate(self.service.calls_per_s)
            caller = self.rng.randrange(self.service.caller_count)
            work = (
                self.rng.expovariate(1)
                if self.service.has_random_service_times
                else 1.0
            )
            self._schedule(at_s, self._call_arrival(caller, work))
        if self.policy.choose_probe_target is not None:
            for caller in range(self.service.caller_count):
                self._schedule(
                    caller * _PROBE_INTERVAL_S, self._probing(caller)
                )
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            event(now_s)
        return self.completed

    def _schedule(self, at_s: float, event: Callable[[float], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, event))

    def _probing(self, caller: int) -> Callable[[float], None]:
        policy = self.policy

        def send_probe(now_s: float) -> None:
            assert policy.choose_probe_target is not None
            server = policy.choose_probe_target(caller, now_s)
            if server >= 0 and not self._has_fault(
                self.servers[server], now_s, 'dead'
            ):
                report = self.servers[server].report(now_s + _NETWORK_DELAY_S)
                self._schedule(
                    now_s + 2 * _NETWORK_DELAY_S, make_delivery(server, report)
                )
            if now_s < self.service.duration_s:
                self._schedule(now_s + _PROBE_INTERVAL_S, send_probe)

        def make_delivery(
            server: int, report: LoadReport
        ) -> Callable[[float], None]:
            def deliver_report(now_s: float) -> None:
                assert policy.record_probe is not None
                policy.record_probe(caller, server, report, now_s)

            return deliver_report

        return send_probe

    def _call_arrival(
        self, caller: int, work: float
    ) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            chosen = self.policy.choose(caller, now_s)
            server = self.servers[chosen]

            def deliver_request(received_s: float) -> None:
                self._receive(server, caller, work, now_s, received_s)

            self._schedule(now_s + _NETWORK_DELAY_S, deliver_request)

        return arrive

    def _receive(
        self,
        server: Server,
        caller: int,
        work: float,
        started_s: float,
        now_s: float,
    ) -> None:
        if self._has_fault(server, now_s, 'fails'):
            record_served_request(server.record, False, _FAILURE_S, now_s)
            returned_s = now_s + _FAILURE_S + _NETWORK_DELAY_S
            self._send_answer(server, caller, started_s, returned_s, False)
        elif self._has_fault(server, now_s, 'dead'):
            returned_s = now_s + _NETWORK_DELAY_S
            self._send_answer(server, caller, started_s, returned_s, False)
        elif server.in_flight < self.service.slots:
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
        service_s = self.service.service_s * work
        if self._has_fault(server, now_s, 'slow'):
            service_s *= self.fault.slowdown

        def finish(ended_s: float) -> None:
            server.in_flight -= 1
            record_served_request(server.record, True, service_s, ended_s)
            returned_s = ended_s + _NETWORK_DELAY_S
            self._send_answer(server, caller, started_s, returned_s, True)
            if server.queue:
                next_caller, next_started_s = server.queue.popleft()
                next_work = (
                    self.rng.expovariate(1)
                    if self.service.has_random_service_times
                    else 1.0
                )
                self._start(
                    server, next_caller, next_work, next_started_s, ended_s
                )

        self._schedule(now_s + service_s, finish)

    def _send_answer(
        self,
        server: Server,
        caller: int,
        started_s: float,
        returned_s: float,
        succeeded: bool,
    ) -> None:
        report = server.report(returned_s)

        def complete_call(now_s: float) -> None:
            call = CompletedCall(started_s, now_s, server.number, succeeded)
            self.completed.append(call)
            self.policy.record_end(
                caller, server.number, succeeded, report, now_s
            )

        self._schedule(returned_s, complete_call)

    def _has_fault(self, server: Server, now_s: float, kind: str) -> bool:
        fault = self.fault
        is_faulty_kind = fault.kind == kind and fault.server == server.number
        return is_faulty_kind and fault.from_s <= now_s < fault.until_s
