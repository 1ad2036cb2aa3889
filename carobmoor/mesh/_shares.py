"""Shares of an owner's slots among the teams of one rank."""

from typing import Final, NamedTuple

from carobmoor.mesh._owner_request import OwnerRequest
from carobmoor.routes import RouteTable

_EQUAL_WEIGHT: Final = 1


class CallerShare(NamedTuple):
    """Whose share a request belongs to, and its weight among all."""

    caller: str
    weight: float | None


def caller_share(
    table: RouteTable | None, owner_request: OwnerRequest
) -> CallerShare:
    """Return whose share of the slots a request uses.

    Teams are weighted by the rates of their allotments, since a large team
    with the share of a small one would hardly be served. Smaller teams weigh as
    much as the mean one, as do requests without a team; those share by the
    instance where they began. Without teams, all requests are of one caller.
    """
    if table is None or not table.teams:
        return CallerShare('', None)
    mean = table.teams.mean_rate_per_s or _EQUAL_WEIGHT
    name = owner_request.hop.team
    if not name:
        return CallerShare(f'instance {owner_request.sender}', mean)
    team = table.teams.by_name.get(name)
    rate_per_s = 0 if team is None else team.rate_per_s
    return CallerShare(f'team {name}', max(mean, rate_per_s))
