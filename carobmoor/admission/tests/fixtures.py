"""A small policy, and admission on a manual clock."""

from carobmoor.admission import (
    AdmissionPolicy,
    AdmissionState,
    AdmissionTuning,
    Arrival,
    RankPolicy,
    expire,
    finish,
    offer,
    start_next,
)

RANKS = (
    RankPolicy('urgent', 100, 50, 0.3),
    RankPolicy('booking', 250, 20, 0.4),
    RankPolicy('upload', 5000, 1, 0.1),
)


def policy(slots=10, queue_limit=1000, **tuning):
    """Return a policy with three ranks."""
    return AdmissionPolicy(slots, queue_limit, RANKS, AdmissionTuning(**tuning))


def arrival(
    rank='booking',
    caller='a',
    depth=0,
    deadline_s=60.0,
    name='x',
    target_at_s=None,
):
    """Return an arrival with defaults."""
    return Arrival(name, rank, caller, depth, deadline_s, target_at_s)


class Desk:
    """Admission on a manual clock, with a record of its decisions."""

    def __init__(self, given=None):
        """Start idle at time 0."""
        self.state = AdmissionState(given or policy())
        self.now_s = float(0)
        self.running = []
        self.arrivals = {}
        self.dropped = {}

    def offer(self, request):
        """Offer an arrival; return its number, or the code of the refusal."""
        offered = offer(self.state, request, self.now_s)
        if offered.is_err():
            return offered.unwrap_err()
        placement = offered.unwrap()
        self.arrivals[placement.number] = request
        if placement.evicted is not None:
            self.dropped[placement.evicted.number] = placement.evicted.code
        if placement.verdict.value == 'started':
            self.running.append(placement.number)
        return placement.number

    def finish(self, number, service_s=0.01):
        """Finish a running request."""
        self.running.remove(number)
        finish(self.state, number, service_s, self.now_s)

    def start(self):
        """Expire and start as a node does; return the started numbers."""
        for drop in expire(self.state, self.now_s):
            self.dropped[drop.number] = drop.code
        started = [grant.number for grant in start_next(self.state, self.now_s)]
        self.running.extend(started)
        return started

    def finish_and_start(self, number):
        """Finish one request; return the arrivals that start in its place."""
        self.finish(number)
        return [self.arrivals[started] for started in self.start()]
