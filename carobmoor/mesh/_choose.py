"""Choice of the backend server with the earliest predicted finish."""

import heapq
import random
from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from carobmoor.mesh._peers import Peer
from carobmoor.routing import OTHER_REGION
from carobmoor.transport import Address

_TYPICAL_PERCENT: Final = 100
_PERMILLE: Final = 1000
_MS_PER_S: Final = 1000
# Predicted cost of one failed attempt, in addition to its own time.
_FAILURE_COST_MS: Final = 400
# Upper limit of the random delay added to each prediction, so that nearly
# equal candidates share the requests.
_NOISE_MS: Final = 2
_MIN_SUCCESS_RATE: Final = 0.05
# How many candidates are asked for their load, and the random delay with
# which they are selected.
_LIKELY_COUNT: Final = 4
_LIKELY_NOISE_MS: Final = 12
# Expected delay at a server of unknown load, as a share of the typical time.
_UNKNOWN_DELAY_SHARE: Final = 0.5
# Slowdown relative to the baseline up to which a server is not slow.
_STEADY_RATIO: Final = 1.1


class RequestProfile(NamedTuple):
    """What the choice needs to know of a request."""

    service: str
    # Typical time of the request without slowdown.
    typical_ms: float
    # Cost of sending it to another region, expressed as a delay.
    other_region_cost_ms: float
    # The same for another zone of the region.
    same_region_cost_ms: float
    tried: Collection[Address] = ()
    # Time until its deadline.
    remaining_ms: float = float('inf')
    # Time that a large answer takes on the way from another instance.
    transfer_ms: float = 0


def choose(
    candidates: Sequence[Peer],
    profile: RequestProfile,
    now_s: float,
    rng: random.Random,
) -> Peer | None:
    """Return the candidate with the earliest predicted finish, or `None`.

    Candidates that were already tried are skipped, and those whose rate limit
    leaves no start before the deadline. One that seems to be down is chosen
    only when there is no other.
    """
    best: Peer | None = None
    best_ms = float('inf')
    for peer in candidates:
        if peer.address in profile.tried:
            continue
        if start_wait_ms(peer, now_s) >= profile.remaining_ms:
            continue
        cost_ms = predict_ms(peer, profile, now_s)
        cost_ms += _NOISE_MS * rng.random()
        if peer.avoided_until_s > now_s:
            cost_ms += _FAILURE_COST_MS * _MS_PER_S
        if cost_ms < best_ms:
            best = peer
            best_ms = cost_ms
    return best


def find_likely(
    candidates: Sequence[Peer],
    profile: RequestProfile,
    now_s: float,
    rng: random.Random,
) -> list[Peer]:
    """Return the few candidates of the region that the choice may fall on.

    The random part exceeds that of the choice, so that candidates with an
    outdated bad load are among them at times.
    """
    by_cost = {
        peer.address: predict_ms(peer, profile, now_s)
        + _LIKELY_NOISE_MS * rng.random()
        for peer in candidates
        if peer.distance != OTHER_REGION
        and peer.address not in profile.tried
        and peer.avoided_until_s <= now_s
    }
    likely = heapq.nsmallest(_LIKELY_COUNT, by_cost, key=by_cost.__getitem__)
    return [
        peer
        for peer in candidates
        if peer.address in likely and not peer.is_self
    ]


def is_idle(peer: Peer, now_s: float) -> bool:
    """Return whether a server would start a request now and is not slow."""
    load = peer.load
    if load is None:
        return False
    is_steady = load.slowdown_percent <= load.baseline_percent * _STEADY_RATIO
    outstanding = max(peer.in_flight, load.running + load.waiting)
    if start_wait_ms(peer, now_s):
        return False
    return is_steady and outstanding < peer.concurrency_limit


def start_wait_ms(peer: Peer, now_s: float) -> float:
    """Predict how long the rate limit of a server delays one more request.

    Zero without a limit. Requests sent since the last report are counted.
    """
    load = peer.load
    if load is None or not load.start_interval_ms:
        return 0
    age_ms = (now_s - peer.load_received_at_s) * _MS_PER_S
    sent_since = max(0, peer.in_flight - peer.in_flight_at_report)
    wait_ms = load.start_wait_ms + sent_since * load.start_interval_ms
    return max(0, wait_ms - age_ms)


def predict_ms(peer: Peer, profile: RequestProfile, now_s: float) -> float:
    """Predict the cost of a request on a peer, as a delay.

    Sums network time, queueing, service time, the risk of a failure and the
    current slowdown.
    """
    base_ms = profile.typical_ms * _baseline_ratio(peer)
    unknown_share = _unknown_share(peer, now_s)
    outstanding = _outstanding(peer, 1 - unknown_share)
    queued_ahead = max(0, outstanding + 1 - peer.concurrency_limit)
    queue_ms = max(
        base_ms * queued_ahead / peer.concurrency_limit,
        start_wait_ms(peer, now_s),
    )
    success = max(_MIN_SUCCESS_RATE, _success_rate(peer, now_s))
    failure_cost_ms = (1 - success) / success * _FAILURE_COST_MS
    network_ms = (
        peer.round_trip_ms
        + (0, profile.same_region_cost_ms, profile.other_region_cost_ms)[
            peer.distance
        ]
    )
    if not peer.is_self:
        network_ms += profile.transfer_ms
    return (
        network_ms
        + queue_ms
        + base_ms
        + failure_cost_ms
        + _silence_ms(peer, now_s)
        + unknown_share * _UNKNOWN_DELAY_SHARE * profile.typical_ms
        + _slowdown_delay_ms(peer, profile.typical_ms, now_s)
    )


def _outstanding(peer: Peer, known_share: float) -> float:
    """Return the expected requests at a peer; an old report counts less."""
    load = peer.load
    if load is None:
        return peer.in_flight
    sent_since = max(0, peer.in_flight - peer.in_flight_at_report)
    reported = known_share * (load.running + load.waiting)
    return max(peer.in_flight, reported + sent_since)


def _baseline_ratio(peer: Peer) -> float:
    load = peer.load
    return 1 if load is None else load.baseline_percent / _TYPICAL_PERCENT


def _slowdown_delay_ms(peer: Peer, typical_ms: float, now_s: float) -> float:
    """Predict the delay by a temporary slowdown.

    The prediction fades with the age of the load report and is zero once the
    report is older than two typical slow periods.
    """
    load = peer.load
    if load is None or load.slowdown_percent <= load.baseline_percent:
        return 0
    excess_ratio = (
        load.slowdown_percent - load.baseline_percent
    ) / _TYPICAL_PERCENT
    age_ms = (now_s - peer.load_received_at_s) * _MS_PER_S
    period_ms = max(1, load.slow_period_ms)
    unexpired_share = max(0, 1 - age_ms / (2 * period_ms))
    return unexpired_share * min(typical_ms * excess_ratio, period_ms)


def _unknown_share(peer: Peer, now_s: float) -> float:
    """Return how little the load report of a peer still says, up to 1."""
    load = peer.load
    if load is None:
        return 1
    age_ms = (now_s - peer.load_received_at_s) * _MS_PER_S
    return min(1, age_ms / (2 * max(1, load.slow_period_ms)))


def _silence_ms(peer: Peer, now_s: float) -> float:
    """Return how long a query for the load has been unanswered."""
    return max(0, now_s - peer.silent_since_s) * _MS_PER_S


def _success_rate(peer: Peer, now_s: float) -> float:
    own = peer.success.rate_at(now_s)
    load = peer.load
    if load is None:
        return own
    return min(own, load.success_permille / _PERMILLE)
