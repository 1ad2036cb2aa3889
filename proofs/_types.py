"""Types that the checker and the scenario runner share."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from carobmoor.history import Event

History = Sequence[Event]


class Bounds(NamedTuple):
    """The limits of a deployment, against which a history is checked."""

    # Slots by the address of a backend server; others are not checked.
    slots: Mapping[str, int] = {}
    # Max. time until an accepted version is in force at reachable nodes.
    in_force_s: float = 7
    # Max. time for which a leaving backend server may still start requests.
    leaving_s: float = 3
    # Max. probes that one process sends within any second.
    probes_per_s: int = 20


class Breach(NamedTuple):
    """A violation of a rule, with the events that show it."""

    rule: str
    detail: str
    events: History


Rule = Callable[[History, Bounds], Sequence[Breach]]
