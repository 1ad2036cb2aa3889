"""Plays a small set of the scenarios; `make soak` plays all of them."""

import asyncio
from pathlib import Path

from nose2.tools import params

from proofs._runner import play
from proofs._scenario import load_scenario

FOLDER = Path(__file__).parent.parent / 'scenarios'
SMALL_SET = (
    'planned-stop',
    'killed-node',
    'frozen-backend',
    'lost-answers',
    'short-answers',
    'crossed-answers',
    'store-lost-answers',
    'racing-operators',
    'restarted-node',
    'stalled-uploads',
    'stale-caller',
    'crash-request',
    'flood-of-the-urgent',
    'pair-copies-kill',
    'pair-freeze-publish',
    'stale-store',
)


@params(*SMALL_SET)
def test_promise_holds(name):
    """The scenario's history breaks no rule and meets its expectations."""
    scenario = load_scenario(FOLDER / f'{name}.json').unwrap()
    outcome = asyncio.run(play(scenario))
    breaches = [(breach.rule, breach.detail) for breach in outcome.breaches]
    assert breaches == [], (breaches, dict(outcome.outcomes))
