"""Reports the choices and failed attempts of a call to its `note`."""

from collections.abc import Sequence
from typing import Any, Final

from result import Err, Result

from carobmoor.client._messages import Call
from carobmoor.outcomes import Failure
from carobmoor.routing import CandidateState

_MS_PER_S: Final = 1000


def trace_choice(
    call: Call,
    chosen: CandidateState,
    candidates: Sequence[CandidateState],
    now_s: float,
) -> None:
    """Report the chosen candidate and the known load of all of them."""
    if call.note is None:
        return
    known_loads = '; '.join(
        _describe_load(candidate, now_s) for candidate in candidates
    )
    event = f'attempt {call.attempt} chose'
    call.note('choice', event, f'{chosen.address} of {known_loads}')


def trace_failure(
    call: Call,
    chosen: CandidateState,
    send_result: Result[Any, Failure],
) -> None:
    """Report a failed attempt; whoever reads an answer reports that."""
    if call.note is None or not isinstance(send_result, Err):
        return
    failure = send_result.err_value
    event = f'attempt {call.attempt} failed: {failure.code.value}'
    call.note(failure.step, event, f'{failure.peer} {failure.detail}')


def _describe_load(candidate: CandidateState, now_s: float) -> str:
    report_text = 'no report'
    if candidate.report is not None:
        age_ms = (now_s - candidate.reported_at_s) * _MS_PER_S
        report = candidate.report
        report_text = (
            f'{report.in_flight} in flight and {report.queued} queued '
            f'with {report.slots} slots, {age_ms:.0f} ms ago'
        )
    ejection_text = '' if candidate.ejection is None else ', ejected'
    return (
        f'{candidate.address} ({candidate.own_in_flight} in flight from here, '
        f'{report_text}{ejection_text})'
    )
