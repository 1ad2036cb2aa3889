"""The limits of routing."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

_NO_RANKS: Final[Mapping[str, float]] = MappingProxyType({})


class RoutingPolicy(NamedTuple):
    """Limits of probing, of links between regions and of ejection."""

    # Budget of probes for load reports: bytes per second, share of a core.
    probe_bytes_per_s: float = 2048
    probe_core_share: float = 0.002
    # Budget of each rank for sending and receiving between regions.
    paid_link_bytes_per_s: float = 4_194_304
    paid_link_bytes_per_s_by_rank: Mapping[str, float] = _NO_RANKS
    # Latency within which a response meets the target of its rank.
    target_s_by_rank: Mapping[str, float] = _NO_RANKS
    # Largest share of the candidates of a service ejected at once.
    ejected_share: float = 0.34
    # Time in which a new or readmitted candidate ramps up to its full share.
    ramp_s: float = 5

    def paid_bytes_per_s(self, rank: str) -> float:
        """Return the budget of a rank for links between regions."""
        return self.paid_link_bytes_per_s_by_rank.get(
            rank,
            self.paid_link_bytes_per_s,
        )


DEFAULT_ROUTING_POLICY: Final = RoutingPolicy()
