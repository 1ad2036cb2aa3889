"""Which node keeps which team, as far as one node knows.

The keeper of a team in a region is the first of the region's nodes in the
order of rendezvous hashing. Nodes that know different members may ask
different ones for a short time; the tolerance of the allotment covers that.
"""

import functools
import heapq
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

import xxhash

# How long a node that left an ask unanswered is passed over.
_SILENCE_S: Final = 1
_MAX_WEIGHTS: Final = 65_536


class NodeView(NamedTuple):
    """A node as another one sees it."""

    ip: str
    region: str
    # Whether it was heard from lately.
    is_alive: bool = True


class Places:
    """The nodes known to one node, and which of them are silent."""

    def __init__(self, ip: str) -> None:
        """Start without other nodes."""
        self.ip = ip
        self.region = ''
        self.total = 0
        self.alive: Mapping[str, Sequence[str]] = {}
        # Part of the own share that may be used; less than 1 while others may
        # not have noticed that this node is cut off.
        self.trust = float(1)
        self.silent_until_s: dict[str, float] = {}

    def update(self, nodes: Sequence[NodeView], trust: float = 1) -> bool:
        """Replace the known nodes; return whether anything changed."""
        alive: dict[str, list[str]] = {}
        for node in nodes:
            if node.is_alive or node.ip == self.ip:
                alive.setdefault(node.region, []).append(node.ip)
            if node.ip == self.ip:
                self.region = node.region
        total = len(nodes)
        is_same = self.alive == alive and self.total == total
        if is_same and self.trust == trust:
            return False
        self.alive = alive
        self.total = total
        self.trust = trust
        return True

    @property
    def share(self) -> float:
        """The part of the deployment that this node hears from."""
        if not self.total:
            return 0
        return self.trust * len(self.alive.get(self.region, ())) / self.total

    def candidates(
        self, team: str, now_s: float, region: str | None = None
    ) -> Sequence[str]:
        """Return the first two nodes for a team in a region, or the own."""
        return heapq.nsmallest(
            2,
            (
                ip
                for ip in self.alive.get(region or self.region, ())
                if not self.is_silent(ip, now_s)
            ),
            key=lambda ip: _weight(team, ip),
        )

    def keeps(self, team: str, now_s: float) -> bool:
        """Return whether this node keeps a team in its region."""
        return self.ip in self.candidates(team, now_s)[:1]

    def is_silent(self, ip: str, now_s: float) -> bool:
        """Return whether a node is passed over."""
        return self.silent_until_s.get(ip, 0) > now_s

    def record_silence(self, ip: str, now_s: float) -> None:
        """Pass over a node that left an ask unanswered, for a while."""
        if ip != self.ip:
            self.silent_until_s[ip] = now_s + _SILENCE_S

    def record_answer(self, ip: str) -> None:
        """Record that a node answers."""
        self.silent_until_s.pop(ip, None)

    def drop_expired(self, now_s: float) -> None:
        """Consider nodes again whose time of silence has passed."""
        for ip, until_s in tuple(self.silent_until_s.items()):
            if until_s <= now_s:
                self.silent_until_s.pop(ip)


@functools.lru_cache(_MAX_WEIGHTS)
def _weight(team: str, ip: str) -> int:
    return xxhash.xxh64_intdigest(f'{team} {ip}'.encode())
