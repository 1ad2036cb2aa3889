"""Choice of servers under load patterns of large deployments, by simulation.

The goal is at least half of the gain of an oracle that knows the state of every
server at every moment.
"""

import functools

from nose2.tools import params

from bench._load_model import by_oracle, by_query, by_turns, play
from bench.load_patterns import PATTERNS, share_of_gain, surge_during_mass_loss

MIN_SHARE_OF_GAIN = 0.5
SIZES = (30, 200)


_play = functools.cache(play)


@params(*((make, nodes) for make in PATTERNS for nodes in SIZES))
def test_queries_reach_half_of_the_gain(make, nodes):
    """Asking few servers before each choice serves the pattern well."""
    pattern = make(nodes)
    outcome = _play(pattern, by_query)
    oracle = _play(pattern, by_oracle)
    turns = _play(pattern, by_turns)
    assert share_of_gain(outcome, turns, oracle) >= MIN_SHARE_OF_GAIN


@params(*SIZES)
def test_lost_servers_are_avoided(nodes):
    """Servers that no longer answer queries get few requests."""
    pattern = surge_during_mass_loss(nodes)
    failed = _play(pattern, by_query).failed
    assert failed <= _play(pattern, by_turns).failed / 5
