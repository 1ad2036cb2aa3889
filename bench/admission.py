"""Service of each rank in a flood, compared with FIFO and strict priority.

The admission decisions run in a simulation with one backend server, for both
deployments of `examples/`, over several seeds.
"""

import itertools
import statistics
import sys
from collections.abc import Sequence
from typing import Final, NamedTuple

from bench.stepped import WAYS, Backend, Outcome, Run, Stream
from carobmoor.admission import AdmissionPolicy, RankPolicy
from carobmoor.configuration import admission_policy_of
from stand_ins.deployment import read_example

_SERVICE_S: Final = 0.01
_FLOOD: Final = 5
_WARM_S: Final = 2
_MS_PER_S: Final = 1000
_PER_CENT: Final = 100
# Deployment, service, and each rank's demand as a fraction of the capacity.
_DEPLOYMENTS: Final = (
    ('adeyemi', 'bookings', (0.1, 0.25, 0.15, 0.1)),
    ('bawaba', 'directory', (0.25, 0.2, 0.15)),
)


class Case(NamedTuple):
    """A load and the state of the backend server under it."""

    name: str
    # Index of the rank that floods; `None` for no flood.
    flooding: int | None = None
    # Whether every other rank asks for more than its guaranteed share.
    is_greedy: bool = False
    # From the middle of the run on, each request takes `slowdown` times as
    # long, and no more than `cores` requests at once run at full speed.
    slowdown: float = 1
    cores: int = 10_000
    crowding_exponent: float = 1
    # Mean service time of the least urgent rank.
    least_urgent_s: float = _SERVICE_S

    def service_s(self, rank: RankPolicy, policy: AdmissionPolicy) -> float:
        """Return the mean service time of a rank."""
        is_least = rank is policy.ranks[-1]
        return self.least_urgent_s if is_least else _SERVICE_S


_CASES: Final = (
    Case('no flood'),
    Case('least urgent floods', -1),
    Case('most urgent floods', 0),
    Case('least urgent floods, all want more', -1, is_greedy=True),
    Case('most urgent floods, all want more', 0, is_greedy=True),
    Case('no flood, least urgent takes 1 s', least_urgent_s=1),
    Case('least urgent floods, takes 1 s', -1, least_urgent_s=1),
    Case('no flood, 3 times slower', slowdown=3),
    Case('least urgent floods, 3 times slower', -1, slowdown=3),
    Case('most urgent floods, 3 times slower', 0, slowdown=3),
    Case('least urgent floods, 4 cores left', -1, cores=4),
    Case(
        'least urgent floods, 4 cores thrash', -1, cores=4, crowding_exponent=2
    ),
    Case('most urgent floods, 4 cores thrash', 0, cores=4, crowding_exponent=2),
)


class Kept(NamedTuple):
    """What one rank got in a run, as fractions.

    Slot time is useful when its request is answered within the deadline.
    """

    # Its requests that were answered within the target latency.
    in_target: float
    # Its useful slot time over the smaller of demand and guaranteed share.
    kept: float
    # Its useful slot time over the whole capacity.
    useful: float


Table = dict[str, Kept]


class Window(NamedTuple):
    """The part of a run that the figures cover, and the capacity in it."""

    from_s: float
    until_s: float
    capacity_slots: float

    def has(self, at_s: float) -> bool:
        """Return whether a time is in the window."""
        return self.from_s <= at_s < self.until_s


def measure_admission(
    seconds: float = 10,
    seeds: int = 3,
    load: str = '',
) -> None:
    """Print what each rank gets in each flood.

    Each cell shows the requests answered within the target latency, and the
    useful slot time over the smaller of demand and guaranteed share.

    Args:
        seconds: Simulated length of a run.
        seeds: Number of seeds that the medians are taken over.
        load: Run only the loads whose name contains this text.
    """
    for deployment, service, demands in _DEPLOYMENTS:
        document = read_example(deployment)
        policy = admission_policy_of(document, service)
        _say(f'{deployment}: {policy.slots} slots, figures in percent')
        _say(f'{"load":<38}{"way":<10}{_heads(policy)}  useful')
        wanted = [case for case in _CASES if load in case.name]
        for case, way in itertools.product(wanted, WAYS):
            tables = [
                run_case(policy, demands, case, way, seed, seconds)
                for seed in range(seeds)
            ]
            _say(_line(case, way, _median(tables)))


def run_case(
    policy: AdmissionPolicy,
    demands: Sequence[float],
    case: Case,
    way: str,
    seed: int,
    seconds: float,
) -> Table:
    """Run one case with one seed; return the figures of each rank."""
    middle_s = _WARM_S + (seconds - _WARM_S) / 2
    backend = Backend(
        policy.slots,
        case.cores,
        middle_s,
        case.slowdown,
        case.crowding_exponent,
    )
    parts = _parts(policy, demands, case)
    streams = [
        _stream(rank, part * policy.slots, case.service_s(rank, policy), 0)
        for rank, part in zip(policy.ranks, parts, strict=True)
    ]
    if case.flooding is not None:
        flooding = policy.ranks[case.flooding]
        service_s = case.service_s(flooding, policy)
        flood = _stream(flooding, _FLOOD * policy.slots, service_s, _WARM_S)
        streams.append(flood)
    run = Run(WAYS[way](policy), backend, seed)
    run.drive(streams, seconds)
    is_whole = case.slowdown == 1 and case.cores > policy.slots
    from_s = _WARM_S if is_whole else middle_s
    speed = 1 / case.slowdown
    if case.cores < policy.slots:
        speed = case.cores / policy.slots
    window = Window(from_s, seconds - 1, policy.slots * speed)
    return {
        rank.name: _kept(
            rank,
            run.outcomes,
            window,
            case.service_s(rank, policy),
        )
        for rank in policy.ranks
    }


def _parts(
    policy: AdmissionPolicy,
    demands: Sequence[float],
    case: Case,
) -> Sequence[float]:
    if case.is_greedy:
        return [1.2 * rank.guaranteed_share for rank in policy.ranks]
    return demands


def _stream(
    rank: RankPolicy,
    wanted_slots: float,
    service_s: float,
    from_s: float,
) -> Stream:
    deadline_s = 2 * rank.target_latency_ms / _MS_PER_S
    return Stream(
        rank.name,
        wanted_slots / service_s,
        deadline_s,
        service_s=service_s,
        from_s=from_s,
    )


def _kept(
    rank: RankPolicy,
    outcomes: Sequence[Outcome],
    window: Window,
    service_s: float,
) -> Kept:
    own = [one for one in outcomes if one.arrival.rank == rank.name]
    came = [one for one in own if window.has(one.came_s)]
    target_s = rank.target_latency_ms / _MS_PER_S
    in_target = sum(
        1
        for one in came
        if one.ended_s and one.ended_s - one.came_s <= target_s
    )
    useful = sum(
        1
        for one in own
        if window.has(one.ended_s) and one.ended_s <= one.arrival.deadline_s
    )
    whole_s = (window.until_s - window.from_s) * window.capacity_slots
    offered_part = len(came) * service_s / whole_s
    useful_part = useful * service_s / whole_s
    due = min(offered_part, rank.guaranteed_share)
    return Kept(in_target / len(came), useful_part / due, useful_part)


def _median(tables: Sequence[Table]) -> Table:
    return {
        rank: Kept(
            *(
                statistics.median(table[rank][place] for table in tables)
                for place in range(len(Kept._fields))
            ),
        )
        for rank in tables[0]
    }


def _heads(policy: AdmissionPolicy) -> str:
    return ''.join(f'{rank.name:>16}' for rank in policy.ranks)


def _line(case: Case, way: str, table: Table) -> str:
    cells = ''.join(
        f'{_PER_CENT * kept.in_target:>8.1f}/{_PER_CENT * kept.kept:>7.0f}'
        for kept in table.values()
    )
    useful = sum(kept.useful for kept in table.values())
    return f'{case.name:<38}{way:<10}{cells}{_PER_CENT * useful:>8.1f}'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
