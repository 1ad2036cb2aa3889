"""Teams as the configuration declares them."""

from collections.abc import Sequence
from typing import NamedTuple


class Team(NamedTuple):
    """A team and what the configuration grants it."""

    name: str
    # Overrides the priority of the route; `None` if it sets none.
    priority: int | None = None
    # Requests per second over all nodes together; 0 if not limited.
    rate_per_s: float = 0
    # Requests beyond the rate that may be saved up.
    burst: float = 0
    # Regions whose backend servers may run its requests; empty for all.
    regions: frozenset[str] = frozenset()


class TeamKeys(NamedTuple):
    """A team with its keys; only the directory and decoders hold them."""

    team: Team
    keys: Sequence[str]
