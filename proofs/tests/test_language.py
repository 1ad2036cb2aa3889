"""Tests of the scenario language and of random scenarios."""

import asyncio
from pathlib import Path

from nose2.tools import params

from proofs._language import load_scenario, parse_scenario
from proofs._mix import draw_blocks, scenario_of, shrink

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
    told = parse_scenario(TEXT.replace('STEP', step), 's.json').unwrap_err()
    assert str(told[0]).startswith(where), told


def test_every_scenario_is_valid():
    """All scenario files of the repository are valid."""
    files = sorted(FOLDER.rglob('*.json'))
    assert files
    for path in files:
        assert load_scenario(path).is_ok(), load_scenario(path)


def test_mix_depends_on_its_seed_alone():
    """The same seed gives the same scenario, which is valid."""
    for seed in range(50):
        drawn = draw_blocks(seed)
        assert drawn == draw_blocks(seed)
        text = str(scenario_of(drawn, seed)).replace('True', 'true')
        told = parse_scenario(text.replace('False', 'false'), 'mix')
        assert told.is_ok(), told


def test_shrinking_leaves_what_breaks():
    """Shrinking keeps only the blocks that the breach depends on."""
    blocks = [({'do': name},) for name in 'abcde']

    async def breaks(fewer) -> bool:
        names = {step['do'] for block in fewer for step in block}
        return names >= {'b', 'd'}

    left = asyncio.run(shrink(blocks, breaks))
    assert left == [({'do': 'b'},), ({'do': 'd'},)]
