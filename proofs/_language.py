"""The scenario language: JSON with comments, one scenario a file.

Example: a planned stop under load.

    {
      "promise": "a planned stop cuts no request",
      "deployment": "adeyemi",
      "places": [{"service": "bookings", "count": 2, "slots": 4}],
      "steps": [
        {"do": "flood", "service": "bookings", "rank": "booking", "calls": 60},
        {"do": "drain", "process": "node bookings-0"},
        {"do": "join"}
      ]
    }

Processes are named as they are started: `node SERVICE-NUMBER`,
`backend SERVICE-NUMBER` and `platform`, numbers counted over all places.
Links are named by the end that is not the node's: `backend SERVICE-NUMBER`
and `platform SERVICE-NUMBER`.
"""

import re
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Final, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from result import Err, Ok, Result
from typing_extensions import TypedDict

from carobmoor.configuration import (
    Fault,
    parse_commented_json,
    validate_against,
)

_STRICT: Final = ConfigDict(extra='forbid', strict=True)
_STEP_LINE: Final = re.compile(r'^\s*\{\s*"do"')
_STEP_PATH: Final = re.compile(r'^\$\.steps\[(\d+)\]')

Count = Annotated[int, Field(ge=0, le=100_000)]
Milliseconds = Annotated[int, Field(ge=0, le=600_000)]
Process = Annotated[
    str,
    Field(pattern='^(platform|(node|backend) [a-z]+-[0-9]+)$'),
]
Link = Annotated[str, Field(pattern='^(backend|platform) [a-z]+-[0-9]+$')]


@with_config(_STRICT)
class PlaceLines(TypedDict):
    """Backend servers of one service, each with its node."""

    service: str
    count: NotRequired[Annotated[int, Field(ge=1, le=6)]]
    region: NotRequired[str]
    slots: NotRequired[Annotated[int, Field(ge=1, le=100)]]
    service_ms: NotRequired[Annotated[float, Field(ge=0, le=60_000)]]


@with_config(_STRICT)
class FloodStep(TypedDict):
    """Send calls of one rank at a rate, in the background."""

    do: Literal['flood']
    service: str
    rank: str
    calls: Count
    rate: NotRequired[Annotated[float, Field(gt=0, le=5000)]]
    timeout_ms: NotRequired[Annotated[int, Field(ge=1, le=600_000)]]
    service_ms: NotRequired[Milliseconds]
    body_bytes: NotRequired[Annotated[int, Field(ge=0, le=2**24)]]
    repeatable: NotRequired[bool]
    # How often each call is sent at once, under one ticket.
    copies: NotRequired[Annotated[int, Field(ge=1, le=5)]]
    # Sent again, as a new request, this often after an unknown outcome.
    resends: NotRequired[Annotated[int, Field(ge=0, le=10)]]
    # Sent to this node alone, whatever is known of it.
    at: NotRequired[Annotated[str, Field(pattern='^node [a-z]+-[0-9]+$')]]
    # Crashes each backend server that runs it.
    crashes: NotRequired[bool]
    # Sends half of its body and then nothing.
    stalls: NotRequired[bool]


@with_config(_STRICT)
class JoinStep(TypedDict):
    """Wait until every call sent so far has ended."""

    do: Literal['join']


@with_config(_STRICT)
class WaitStep(TypedDict):
    """Do nothing for a while."""

    do: Literal['wait']
    for_ms: Milliseconds


@with_config(_STRICT)
class ProcessStep(TypedDict):
    """Signal one process, or start it again."""

    do: Literal['kill', 'freeze', 'thaw', 'drain', 'restart']
    process: Process


@with_config(_STRICT)
class LinkStep(TypedDict):
    """Make a link cut, hold, delay, cross or truncate, or mend it."""

    do: Literal['cut', 'hold', 'delay', 'cross', 'truncate', 'lose', 'mend']
    link: Link
    # For `delay` the delay, for `truncate` the bytes that pass.
    amount: NotRequired[Count]


@with_config(_STRICT)
class StoreStep(TypedDict):
    """Make the platform slow, take it down or lose its answers."""

    do: Literal['store']
    delay_ms: NotRequired[Milliseconds]
    is_down: NotRequired[bool]
    is_stale: NotRequired[bool]
    loses_answers: NotRequired[Count]
    # Only of writes whose path starts so.
    loses_on: NotRequired[str]


@with_config(_STRICT)
class PublishStep(TypedDict):
    """Let operators publish on the same base version at the same time."""

    do: Literal['publish']
    operators: NotRequired[Annotated[int, Field(ge=1, le=8)]]
    # Read the version to build on first; otherwise the last one known.
    at: NotRequired[Annotated[str, Field(pattern='^node [a-z]+-[0-9]+$')]]


@with_config(_STRICT)
class BackendStep(TypedDict):
    """Make a backend server slow, failing or shedding."""

    do: Literal['backend']
    process: Process
    slowdown: NotRequired[Annotated[float, Field(ge=1, le=1000)]]
    fails: NotRequired[bool]
    sheds: NotRequired[bool]


Step = Annotated[
    FloodStep
    | JoinStep
    | WaitStep
    | ProcessStep
    | LinkStep
    | StoreStep
    | PublishStep
    | BackendStep,
    Field(discriminator='do'),
]


@with_config(_STRICT)
class Expectations(TypedDict):
    """What a scenario asks for besides the promises."""

    # The least share of calls, by rank, that must be answered.
    answered: NotRequired[dict[str, Annotated[float, Field(ge=0, le=1)]]]
    # The most starts of crashing requests.
    crashes: NotRequired[Count]
    # How many versions must have been accepted.
    accepted: NotRequired[Count]


@with_config(_STRICT)
class Scenario(TypedDict):
    """One scenario."""

    promise: str
    deployment: Literal['adeyemi', 'bawaba']
    places: Annotated[Sequence[PlaceLines], Field(min_length=1, max_length=8)]
    steps: Annotated[Sequence[Step], Field(min_length=1, max_length=200)]
    seed: NotRequired[int]
    expect: NotRequired[Expectations]


_ADAPTER: Final[TypeAdapter[Scenario]] = TypeAdapter(Scenario)


def parse_scenario(
    text: str,
    name: str,
) -> Result[Scenario, Sequence[Fault]]:
    """Read a scenario; each fault names the file, the line and the step.

    The line is that of the step's `{"do"`, where each step starts a line.
    """
    parsed = parse_commented_json(text)
    if isinstance(parsed, Err):
        return Err([_placed(fault, text, name) for fault in parsed.err_value])
    checked = validate_against(_ADAPTER, parsed.ok_value)
    if isinstance(checked, Err):
        return Err([_placed(fault, text, name) for fault in checked.err_value])
    scenario: Scenario = checked.ok_value
    return Ok(scenario)


def load_scenario(path: Path) -> Result[Scenario, Sequence[Fault]]:
    """Read a scenario's file; raises `OSError` when it can't be read."""
    return parse_scenario(path.read_text(encoding='utf-8'), str(path))


def _placed(fault: Fault, text: str, name: str) -> Fault:
    found = _STEP_PATH.match(fault.path)
    if found is None:
        return fault._replace(path=f'{name} {fault.path}')
    step = int(found.group(1))
    line = _line_of(step, text)
    where = f'{name}:{line}' if line else name
    rest = fault.path[found.end() :]
    return fault._replace(path=f'{where} step {step + 1}{rest}')


def _line_of(step: int, text: str) -> int:
    lines: list[Any] = [
        number
        for number, line in enumerate(text.splitlines(), 1)
        if _STEP_LINE.match(line)
    ]
    return lines[step] if step < len(lines) else 0
