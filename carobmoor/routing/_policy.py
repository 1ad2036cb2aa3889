"""The limits of the choice."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

_NO_RANKS: Final[Mapping[str, float]] = MappingProxyType({})


class RoutingPolicy(NamedTuple):
    """What measuring may cost, which links are dear, how much is ejected."""

    # The budget of probes that ask for a report.
    probe_bytes_per_s: float = 2048
    probe_core_share: float = 0.002
    # What each rank may send and receive over the links between regions.
    paid_link_bytes_per_s: float = 4_194_304
    paid_link_bytes_per_s_by_rank: Mapping[str, float] = _NO_RANKS
    # The latency within which an answer counts as good.
    target_s_by_rank: Mapping[str, float] = _NO_RANKS
    # The most candidates of a service, as a share, that are ejected at once.
    ejected_share: float = 0.34
    # How long a new or returning candidate takes to its whole share.
    ramp_s: float = 5

    def paid_bytes_per_s(self, rank: str) -> float:
        """Give the budget of a rank on the links between regions."""
        return self.paid_link_bytes_per_s_by_rank.get(
            rank,
            self.paid_link_bytes_per_s,
        )


DEFAULT_ROUTING_POLICY: Final = RoutingPolicy()
