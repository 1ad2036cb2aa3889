"""The burn report is rendered as a table and as a page."""

import re
import subprocess
import sys

from carobmoor.burn import (
    BurnState,
    Cause,
    Objective,
    calculate_rank_burn,
    record_answer,
    take_snapshots,
)
from carobmoor.reports import render_page, render_table

GATE = Objective('gate', 'desk', 50, 0.99)
NOW_S = 60_000


def test_page_and_table_name_the_cause():
    """Table and page have the cause; the page loads nothing from outside."""
    state = BurnState()
    for number in range(100):
        cause = Cause.QUEUEING if number < 10 else None
        record_answer(state, 'gate', 'desk', 0.01, cause, NOW_S)
    snapshot = take_snapshots(state, (GATE,))[0]
    burns = [calculate_rank_burn(snapshot, NOW_S // 60)]
    page = render_page(burns, NOW_S, 'a <node>')
    assert 'queueing 100%' in render_table(burns)
    assert 'a &lt;node&gt;' in page
    assert page.count('<svg') == 2
    assert not re.search('(src|href)="(?!#)|@import|<script|<link', page)


def test_cli_does_not_import_matplotlib():
    """The CLI does not import the plotting library on start.

    Nodes start from the CLI, and the library would cost each of them memory.
    """
    code = 'import carobmoor.cli, sys; print("matplotlib" in sys.modules)'
    completed = subprocess.run(
        (sys.executable, '-c', code),
        capture_output=True,
        check=True,
    )
    assert completed.stdout == b'False\n'
