"""Service of each rank in a flood, compared with FIFO and strict priority.

The admission decisions run in a simulation with one backend server, for both
deployments of `examples/`, over several seeds.
"""

import itertools
import statistics
import sys
from collections.abc import Sequence
from typing import Final, NamedTuple

from bench.stepped import DISCIPLINES, Backend, Outcome, Run, Stream
from carobmoor.admission import AdmissionPolicy, RankPolicy
from carobmoor.configuration import admission_policy_of
from stand_ins.deployment import read_example

_SERVICE_S: Final = 0.01
_FLOOD_DEMAND: Final = 5
_WARM_UP_S: Final = 2
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
    flooding_index: int | None = None
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


class RankResult(NamedTuple):
    """What one rank got in a run, as fractions.

    Slot time is useful when its request is answered within the deadline.
    """

    # Its requests that were answered within the target latency.
    in_target: float
    # Its useful slot time over the smaller of demand and guaranteed share.
    kept: float
    # Its useful slot time over the whole capacity.
    useful: float


Table = dict[str, RankResult]


class Window(NamedTuple):
    """The part of a run that the figures cover, and the capacity in it."""

    from_s: float
    until_s: float
    capacity_slots: float

    def contains(self, at_s: float) -> bool:
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
        _write_line(f'{deployment}: {policy.slots} slots, figures in percent')
        _write_line(f'{"load":<38}{"way":<10}{_column_heads(policy)}  useful')
        cases = [case for case in _CASES if load in case.name]
        for case, discipline in itertools.product(cases, DISCIPLINES):
            tables = [
                run_case(policy, demands, case, discipline, seed, seconds)
                for seed in range(seeds)
            ]
            _write_line(_format_line(case, discipline, _medians(tables)))


def run_case(
    policy: AdmissionPolicy,
    demands: Sequence[float],
    case: Case,
    discipline: str,
    seed: int,
    seconds: float,
) -> Table:
    """Run one case with one seed; return the figures of each rank."""
    middle_s = _WARM_UP_S + (seconds - _WARM_UP_S) / 2
    backend = Backend(
        policy.slots,
        case.cores,
        middle_s,
        case.slowdown,
        case.crowding_exponent,
    )
    demands_by_rank = _demands_of(policy, demands, case)
    streams = [
        _make_stream(
            rank, demand * policy.slots, case.service_s(rank, policy), 0
        )
        for rank, demand in zip(policy.ranks, demands_by_rank, strict=True)
    ]
    if case.flooding_index is not None:
        flooding_rank = policy.ranks[case.flooding_index]
        service_s = case.service_s(flooding_rank, policy)
        flood = _make_stream(
            flooding_rank, _FLOOD_DEMAND * policy.slots, service_s, _WARM_UP_S
        )
        streams.append(flood)
    run = Run(DISCIPLINES[discipline](policy), backend, seed)
    run.drive(streams, seconds)
    is_healthy = case.slowdown == 1 and case.cores > policy.slots
    from_s = _WARM_UP_S if is_healthy else middle_s
    speed = 1 / case.slowdown
    if case.cores < policy.slots:
        speed = case.cores / policy.slots
    window = Window(from_s, seconds - 1, policy.slots * speed)
    return {
        rank.name: _rank_result(
            rank,
            run.outcomes,
            window,
            case.service_s(rank, policy),
        )
        for rank in policy.ranks
    }


def _demands_of(
    policy: AdmissionPolicy,
    demands: Sequence[float],
    case: Case,
) -> Sequence[float]:
    if case.is_greedy:
        return [1.2 * rank.guaranteed_share for rank in policy.ranks]
    return demands


def _make_stream(
    rank: RankPolicy,
    demanded_slots: float,
    service_s: float,
    from_s: float,
) -> Stream:
    deadline_s = 2 * rank.target_latency_ms / _MS_PER_S
    return Stream(
        rank.name,
        demanded_slots / service_s,
        deadline_s,
        service_s=service_s,
        from_s=from_s,
    )


def _rank_result(
    rank: RankPolicy,
    outcomes: Sequence[Outcome],
    window: Window,
    service_s: float,
) -> RankResult:
    own = [outcome for outcome in outcomes if outcome.arrival.rank == rank.name]
    arrived = [outcome for outcome in own if window.contains(outcome.came_s)]
    target_s = rank.target_latency_ms / _MS_PER_S
    in_target = sum(
        1
        for outcome in arrived
        if outcome.ended_s and outcome.ended_s - outcome.came_s <= target_s
    )
    useful_count = sum(
        1
        for outcome in own
        if window.contains(outcome.ended_s)
        and outcome.ended_s <= outcome.arrival.deadline_s
    )
    capacity_slot_s = (window.until_s - window.from_s) * window.capacity_slots
    demand = len(arrived) * service_s / capacity_slot_s
    useful_fraction = useful_count * service_s / capacity_slot_s
    expected = min(demand, rank.guaranteed_share)
    return RankResult(
        in_target / len(arrived), useful_fraction / expected, useful_fraction
    )


def _medians(tables: Sequence[Table]) -> Table:
    return {
        rank: RankResult(
            *(
                statistics.median(table[rank][index] for table in tables)
                for index in range(len(RankResult._fields))
            ),
        )
        for rank in tables[0]
    }


def _column_heads(policy: AdmissionPolicy) -> str:
    return ''.join(f'{rank.name:>16}' for rank in policy.ranks)


def _format_line(case: Case, discipline: str, table: Table) -> str:
    cells = ''.join(
        f'{_PER_CENT * cell.in_target:>8.1f}/{_PER_CENT * cell.kept:>7.0f}'
        for cell in table.values()
    )
    useful = sum(cell.useful for cell in table.values())
    return f'{case.name:<38}{discipline:<10}{cells}{_PER_CENT * useful:>8.1f}'


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
