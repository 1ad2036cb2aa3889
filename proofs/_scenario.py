"""The scenario language: JSON with comments, one scenario per file.

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

Processes are named `node SERVICE-NUMBER`, `backend SERVICE-NUMBER` and
`platform`; numbers start at 0 and count up over all places. A link joins a
node to its backend server or to the platform and is named after that other
end: `backend SERVICE-NUMBER` or `platform SERVICE-NUMBER`.
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
ProcessName = Annotated[
    str,
    Field(pattern='^(platform|(node|backend) [a-z]+-[0-9]+)$'),
]
LinkName = Annotated[str, Field(pattern='^(backend|platform) [a-z]+-[0-9]+$')]


@with_config(_STRICT)
class PlaceSpec(TypedDict):
    """Backend servers of one service, each with its node."""

    service: str
    count: NotRequired[Annotated[int, Field(ge=1, le=6)]]
    region: NotRequired[str]
    slots: NotRequired[Annotated[int, Field(ge=1, le=100)]]
    service_ms: NotRequired[Annotated[float, Field(ge=0, le=60_000)]]


@with_config(_STRICT)
class FloodStep(TypedDict):
    """Send calls of one rank at a fixed rate, in the background."""

    do: Literal['flood']
    service: str
    rank: str
    calls: Count
    rate: NotRequired[Annotated[float, Field(gt=0, le=5000)]]
    timeout_ms: NotRequired[Annotated[int, Field(ge=1, le=600_000)]]
    service_ms: NotRequired[Milliseconds]
    body_bytes: NotRequired[Annotated[int, Field(ge=0, le=2**24)]]
    repeatable: NotRequired[bool]
    # How many copies of each call are sent at once, under one ticket.
    copies: NotRequired[Annotated[int, Field(ge=1, le=5)]]
    # How often a call with an unknown outcome is sent again, each time
    # with a new request id.
    resends: NotRequired[Annotated[int, Field(ge=0, le=10)]]
    # Send to this node only, bypassing routing.
    at: NotRequired[Annotated[str, Field(pattern='^node [a-z]+-[0-9]+$')]]
    # Each call crashes the backend server that runs it.
    crashes: NotRequired[bool]
    # Each call sends part of its body, then nothing more.
    stalls: NotRequired[bool]


@with_config(_STRICT)
class JoinStep(TypedDict):
    """Wait until all calls of the floods so far have ended."""

    do: Literal['join']


@with_config(_STRICT)
class WaitStep(TypedDict):
    """Wait for a fixed time."""

    do: Literal['wait']
    for_ms: Milliseconds


@with_config(_STRICT)
class ProcessStep(TypedDict):
    """Send a signal to one process, or restart it."""

    do: Literal['kill', 'freeze', 'thaw', 'drain', 'restart']
    process: ProcessName


@with_config(_STRICT)
class LinkStep(TypedDict):
    """Inject a fault into a link, or mend it; see `proofs._relay.Mode`."""

    do: Literal['cut', 'hold', 'delay', 'cross', 'truncate', 'lose', 'mend']
    link: LinkName
    # Milliseconds for `delay`, forwarded bytes for `truncate`.
    amount: NotRequired[Count]


@with_config(_STRICT)
class StoreStep(TypedDict):
    """Make the platform slow, unavailable, stale or lose its answers."""

    do: Literal['store']
    delay_ms: NotRequired[Milliseconds]
    is_down: NotRequired[bool]
    is_stale: NotRequired[bool]
    loses_answers: NotRequired[Count]
    # Lose only answers to writes of this row, given as `table/key`.
    loses_on: NotRequired[str]


@with_config(_STRICT)
class PublishStep(TypedDict):
    """Let operators publish at the same time on the same base version."""

    do: Literal['publish']
    operators: NotRequired[Annotated[int, Field(ge=1, le=8)]]
    # The node to publish through; by default the first that runs.
    at: NotRequired[Annotated[str, Field(pattern='^node [a-z]+-[0-9]+$')]]


@with_config(_STRICT)
class BackendStep(TypedDict):
    """Make a backend server slow, fail requests or shed load."""

    do: Literal['backend']
    process: ProcessName
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
    """Results that a scenario requires besides the rules."""

    # Min. share of calls that are answered, by rank.
    answered: NotRequired[dict[str, Annotated[float, Field(ge=0, le=1)]]]
    # Max. starts of crashing requests.
    crashes: NotRequired[Count]
    # Exact number of accepted versions.
    accepted: NotRequired[Count]


@with_config(_STRICT)
class Scenario(TypedDict):
    """One scenario."""

    promise: str
    deployment: Literal['adeyemi', 'bawaba']
    places: Annotated[Sequence[PlaceSpec], Field(min_length=1, max_length=8)]
    steps: Annotated[Sequence[Step], Field(min_length=1, max_length=200)]
    seed: NotRequired[int]
    expect: NotRequired[Expectations]


_ADAPTER: Final[TypeAdapter[Scenario]] = TypeAdapter(Scenario)


def parse_scenario(
    text: str,
    name: str,
) -> Result[Scenario, Sequence[Fault]]:
    """Parse a scenario; each fault names the file, the line and the step.

    The line is correct only if each step starts a line with `{"do"`.
    """
    parsed = parse_commented_json(text)
    if isinstance(parsed, Err):
        return Err(
            [_add_location(fault, text, name) for fault in parsed.err_value]
        )
    checked = validate_against(_ADAPTER, parsed.ok_value)
    if isinstance(checked, Err):
        return Err(
            [_add_location(fault, text, name) for fault in checked.err_value]
        )
    scenario: Scenario = checked.ok_value
    return Ok(scenario)


def load_scenario(path: Path) -> Result[Scenario, Sequence[Fault]]:
    """Load a scenario file; raises `OSError` if it can't be read."""
    return parse_scenario(path.read_text(encoding='utf-8'), str(path))


def _add_location(fault: Fault, text: str, name: str) -> Fault:
    found = _STEP_PATH.match(fault.path)
    if found is None:
        return fault._replace(path=f'{name} {fault.path}')
    step = int(found.group(1))
    line = _line_of_step(step, text)
    location = f'{name}:{line}' if line else name
    rest = fault.path[found.end() :]
    return fault._replace(path=f'{location} step {step + 1}{rest}')


def _line_of_step(step: int, text: str) -> int:
    lines: list[Any] = [
        number
        for number, line in enumerate(text.splitlines(), 1)
        if _STEP_LINE.match(line)
    ]
    return lines[step] if step < len(lines) else 0
