"""Reports the choices and failed attempts of a call to its `note`."""

from collections.abc import Sequence
from typing import Any, Final

from result import Err, Result

from carobmoor.client._messages import Call
from carobmoor.outcomes import Failure
from carobmoor.routing import CandidateState

_MS_PER_S: Final = 1000


def note_choice(
    call: Call,
    chosen: CandidateState,
    candidates: Sequence[CandidateState],
    now_s: float,
) -> None:
    """Report the chosen candidate and the known load of all of them."""
    if call.note is None:
        return
    known = '; '.join(_describe(one, now_s) for one in candidates)
    event = f'attempt {call.attempt} chose'
    call.note('choice', event, f'{chosen.address} of {known}')


def note_outcome(
    call: Call,
    chosen: CandidateState,
    sent: Result[Any, Failure],
) -> None:
    """Report a failed attempt; whoever reads an answer reports that."""
    if call.note is None or not isinstance(sent, Err):
        return
    failure = sent.err_value
    event = f'attempt {call.attempt} failed: {failure.code.value}'
    call.note(failure.step, event, f'{failure.peer} {failure.detail}')


def _describe(known: CandidateState, now_s: float) -> str:
    told = 'no report'
    if known.report is not None:
        age_ms = (now_s - known.reported_at_s) * _MS_PER_S
        report = known.report
        told = (
            f'{report.in_flight} in flight and {report.queued} queued '
            f'with {report.slots} slots, {age_ms:.0f} ms ago'
        )
    state = '' if known.ejection is None else ', ejected'
    return (
        f'{known.address} ({known.own_in_flight} in flight from here, '
        f'{told}{state})'
    )
