"""What the checker is told and what it finds."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from carobmoor.history import Event

History = Sequence[Event]


class Bounds(NamedTuple):
    """What the deployment promised, against which a history is judged."""

    # The slots of each backend server, by its address.
    slots: Mapping[str, int] = {}
    # How soon an accepted configuration is in force at reachable nodes.
    in_force_s: float = 7
    # How soon a leaving backend server starts nothing new.
    leaving_s: float = 3
    # The most probes that one process sends in a second.
    probes_per_s: int = 20


class Breach(NamedTuple):
    """A broken promise, with the events that show it."""

    rule: str
    detail: str
    events: History


Rule = Callable[[History, Bounds], Sequence[Breach]]
