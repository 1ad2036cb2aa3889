"""Datagrams about allotments, and the limits that they enforce."""

import math
from typing import NamedTuple

import msgspec

from carobmoor.decoding import Count
from carobmoor.teams import Team


class Ask(msgspec.Struct, array_like=True, frozen=True, tag='ask'):
    """Asks the keeper of a team for starts, and reports starts made."""

    # Identifies the ask at its sender.
    number: Count
    team: str
    # Starts asked for; 0 if the sender only reports.
    wanted: Count = 0
    # Standby starts that the sender used.
    spent: Count = 0
    # Starts that were granted to the sender and whose request did not run.
    returned: Count = 0
    # Whether the sender keeps the team in another region.
    is_remote: bool = False


class Grant(msgspec.Struct, array_like=True, frozen=True, tag='grant'):
    """The answer to an ask."""

    number: Count
    team: str
    granted: Count
    # Whether the receiver may make one start before it asks again.
    has_standby: bool = False
    # Time until a start that was not granted would fit.
    wait_ms: Count = 0
    # Whether the sender keeps the team, as far as it knows.
    is_keeper: bool = True


Message = Ask | Grant


class AllotmentBounds(NamedTuple):
    """How far the starts of a team may exceed its allotment in a window."""

    window_s: float = 5
    ratio: float = 0.1
    slack: float = 20


class TeamLimit(NamedTuple):
    """The allotment of a team over all nodes."""

    rate_per_s: float
    burst: float
    # Starts in a window that may exceed the allotment.
    tolerance: float
    # The part of the tolerance that does not depend on the allotment.
    slack: float


def limit_of(team: Team, bounds: AllotmentBounds) -> TeamLimit | None:
    """Return the limit of a team; `None` if it has none."""
    if not team.rate_per_s:
        return None
    allotted = team.rate_per_s * bounds.window_s + team.burst
    return TeamLimit(
        team.rate_per_s,
        team.burst,
        math.floor(allotted * bounds.ratio + bounds.slack),
        bounds.slack,
    )
