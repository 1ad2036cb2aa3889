"""Admission under floods, simulated on a stepped clock.

Guards against a rank or caller whose flood of requests takes slots that are
guaranteed to other ranks or callers.
"""

from hypothesis import given, settings, strategies
from nose2.tools import params

from bench.admission import Case, run_case
from bench.stepped import Backend, Carobmoor, Run, Stream
from carobmoor.admission import AdmissionPolicy, RankPolicy
from carobmoor.configuration import admission_policy_of
from stand_ins.deployment import read_example

DURATION_S = 5
WARM_UP_S = 0.5
DEADLINE_S = 4
TARGET_S = 0.25
MIN_KEPT = 0.95
MIN_USEFUL = 0.9
MIN_IN_TARGET = 0.99
ADEYEMI = ('adeyemi', 'bookings', (0.1, 0.25, 0.15, 0.1))
BAWABA = ('bawaba', 'directory', (0.25, 0.2, 0.15))


@params(
    (*ADEYEMI, -1),
    (*ADEYEMI, 0),
    (*BAWABA, -1),
    (*BAWABA, 0),
)
def test_flood_leaves_other_ranks_their_share(
    deployment, service, demands, flooding
):
    """Each other rank gets 95% of its demand or share, whichever is less."""
    policy = admission_policy_of(read_example(deployment), service)
    case = Case('flood', flooding)
    table = run_case(policy, demands, case, 'carobmoor', 7, DURATION_S)
    flooded = policy.ranks[flooding].name
    kept = {rank: one.kept for rank, one in table.items() if rank != flooded}
    assert min(kept.values()) >= MIN_KEPT, table
    assert sum(one.useful for one in table.values()) >= MIN_USEFUL, table
    if flooding:
        calm = Case('calm')
        without_flood = run_case(
            policy, demands, calm, 'carobmoor', 7, DURATION_S
        )
        urgent = policy.ranks[0].name
        min_in_target = MIN_IN_TARGET * without_flood[urgent].in_target
        assert table[urgent].in_target >= min_in_target, table


@given(
    shares=strategies.lists(strategies.integers(1, 10), min_size=2, max_size=5),
    quiet=strategies.integers(0, 4),
    slots=strategies.integers(2, 24),
    seed=strategies.integers(0, 99),
)
@settings(max_examples=25, deadline=None, derandomize=True, database=None)
def test_guaranteed_share_is_kept(shares, quiet, slots, seed):
    """A rank within its guaranteed share has 95% of its requests answered.

    It asks for 90% of its share, whatever the shares are. Each other rank
    sends three times the capacity.
    """
    total = sum(shares)
    quiet %= len(shares)
    ranks = tuple(
        RankPolicy(f'r{index}', 2000, 1 + index, share / total)
        for index, share in enumerate(shares)
    )
    policy = AdmissionPolicy(slots, 1000, ranks)
    rate_per_s = slots / 0.01
    demand = 0.9 * ranks[quiet].guaranteed_share
    streams = [
        Stream(rank.name, 3 * rate_per_s, DEADLINE_S)
        for rank in ranks
        if rank is not ranks[quiet]
    ]
    streams.append(Stream(ranks[quiet].name, demand * rate_per_s, DEADLINE_S))
    run = Run(Carobmoor(policy), Backend(slots), seed)
    run.drive(streams, 2)
    requested = [
        one
        for one in run.outcomes
        if one.arrival.rank == ranks[quiet].name and one.came_s > WARM_UP_S
    ]
    answered = sum(1 for one in requested if one.ended_s)
    assert run.most_in_flight <= slots
    assert answered >= MIN_KEPT * len(requested) - 3


def test_noisy_caller_leaves_others_in_target():
    """While one caller floods a rank, 99% of the others' requests are in time.

    In time means within the target latency.
    """
    policy = admission_policy_of(read_example('adeyemi'), 'bookings')
    stream = Stream('booking', 1500, 0.5, noisy_part=0.9)
    run = Run(Carobmoor(policy), Backend(policy.slots), 3)
    run.drive((stream,), DURATION_S)
    quiet = [
        one
        for one in run.outcomes
        if one.arrival.caller != 'noisy' and one.came_s > 1
    ]
    in_target = sum(
        1
        for one in quiet
        if one.ended_s and one.ended_s - one.came_s <= TARGET_S
    )
    assert in_target >= MIN_IN_TARGET * len(quiet)
