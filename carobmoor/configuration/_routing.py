"""The sections on routing and on retries, and the policies made of them."""

from collections.abc import Mapping
from typing import Annotated, Any, Final, NotRequired

from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

from carobmoor.retries import RetryPolicy
from carobmoor.routing import RoutingPolicy

_STRICT: Final = ConfigDict(extra='forbid', strict=True)
_MS_PER_S: Final = 1000

RankName = Annotated[str, Field(pattern='^[a-z][a-z0-9-]{0,62}$')]
BytesPerS = Annotated[int, Field(ge=0, le=10**10)]
Share = Annotated[float, Field(ge=0, le=1)]


@with_config(_STRICT)
class RoutingDocument(TypedDict):
    """How the owner node of a request is chosen."""

    # The budget of each node for load probes, in bytes per second and as a
    # share of a core; 0 sends none.
    probe_bytes_per_s: NotRequired[BytesPerS]
    probe_core_share: NotRequired[Share]
    # The budget of each node for links between regions, for each rank that is
    # not listed below.
    paid_link_bytes_per_s: NotRequired[BytesPerS]
    paid_link_bytes_per_s_by_rank: NotRequired[Mapping[RankName, BytesPerS]]
    # The maximum share of the candidates of a service ejected at once.
    ejected_share: NotRequired[Share]
    # How long a new or readmitted candidate takes to reach its full share.
    ramp_ms: NotRequired[Annotated[int, Field(ge=0, le=3_600_000)]]


@with_config(_STRICT)
class RetriesDocument(TypedDict):
    """The limits of retries and hedges."""

    # Retries added to the budget by each call that succeeded.
    retry_share: NotRequired[Share]
    # Retries in the budget at the start, and its maximum.
    retry_reserve: NotRequired[Annotated[float, Field(ge=0, le=10_000)]]
    # Attempts after the first, over a whole chain of calls.
    most_retries: NotRequired[Annotated[int, Field(ge=0, le=8)]]
    # Hedges added to the budget by each call that succeeded; 0 adds none.
    hedge_share: NotRequired[Share]
    # A hedge is sent once a call takes longer than this quantile of latencies.
    hedge_quantile: NotRequired[Annotated[float, Field(ge=0.5, le=0.9999)]]


def routing_policy_of(document: Mapping[str, Any]) -> RoutingPolicy:
    """Return the routing policy of a validated document."""
    section = dict(document.get('routing', {}))
    ramp_ms = section.pop('ramp_ms', None)
    policy = RoutingPolicy(
        target_s_by_rank={
            rank['name']: rank['target_latency_ms'] / _MS_PER_S
            for rank in document['ranks']
        },
    )
    if ramp_ms is not None:
        policy = policy._replace(ramp_s=ramp_ms / _MS_PER_S)
    by_rank = section.pop('paid_link_bytes_per_s_by_rank', {})
    return policy._replace(
        paid_link_bytes_per_s_by_rank=dict(by_rank),
        **section,
    )


def retry_policy_of(document: Mapping[str, Any]) -> RetryPolicy:
    """Return the retry policy of a validated document."""
    return RetryPolicy(**document.get('retries', {}))
