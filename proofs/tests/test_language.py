"""Tests of the scenario language and of random scenarios."""

import asyncio
from pathlib import Path

from nose2.tools import params

from proofs._random_scenarios import build_scenario, draw_blocks, shrink
from proofs._scenario import load_scenario, parse_scenario

FOLDER = Path(__file__).parent.parent / 'scenarios'
TEXT = """// A comment.
{
  "promise": "p", "deployment": "adeyemi",
  "places": [{"service": "bookings"}],
  "steps": [
    {"do": "join"},
    STEP
  ]
}
"""


@params(
    ('{"do": "explode"}', 's.json:7 step 2'),
    ('{"do": "kill"}', 's.json:7 step 2.kill.process'),
    ('{"do": "kill", "process": "x"}', 's.json:7 step 2.kill.process'),
    ('{"do": "wait", "for_ms": -1}', 's.json:7 step 2.wait.for_ms'),
    ('{"do": "wait", "for_s": 1}', 's.json:7 step 2.wait'),
    ('{"do": ', 's.json $'),
)
def test_faults_name_file_line_and_step(step, where):
    """A fault names a file and line that an editor can jump to."""
    faults = parse_scenario(TEXT.replace('STEP', step), 's.json').unwrap_err()
    assert str(faults[0]).startswith(where), faults


def test_every_scenario_file_is_valid():
    """All scenario files of the repository are valid."""
    files = sorted(FOLDER.rglob('*.json'))
    assert files
    for path in files:
        assert load_scenario(path).is_ok(), load_scenario(path)


def test_same_seed_draws_same_valid_scenario():
    """The same seed gives the same scenario, which is valid."""
    for seed in range(50):
        drawn = draw_blocks(seed)
        assert drawn == draw_blocks(seed)
        text = str(build_scenario(drawn, seed)).replace('True', 'true')
        parsed = parse_scenario(text.replace('False', 'false'), 'mix')
        assert parsed.is_ok(), parsed


def test_shrink_keeps_only_blocks_that_break():
    """Shrinking keeps only the blocks that the breach depends on."""
    blocks = [({'do': name},) for name in 'abcde']

    async def breaks(fewer) -> bool:
        names = {step['do'] for block in fewer for step in block}
        return names >= {'b', 'd'}

    remaining = asyncio.run(shrink(blocks, breaks))
    assert remaining == [({'do': 'b'},), ({'do': 'd'},)]
