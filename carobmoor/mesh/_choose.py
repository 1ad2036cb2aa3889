"""Choice of the backend server with the earliest predicted finish."""

import random
from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from carobmoor.mesh._peers import Peer
from carobmoor.transport import Address

_USUAL_PERCENT: Final = 100
_PERMILLE: Final = 1000
_MS_PER_S: Final = 1000
# Predicted cost of one failed attempt.
_FAILURE_MS: Final = 400
# Most random delay added to a prediction; closer predictions count as equal.
_NOISE_MS: Final = 2
_LEAST_SUCCESS: Final = 0.05


class Wanted(NamedTuple):
    """What the choice needs to know of a request."""

    service: str
    # Typical time of the request without slowdown.
    work_ms: float
    # Cost of sending it to another region, expressed as a delay.
    far_ms: float
    # The same for another zone of the region.
    near_ms: float
    tried: Collection[Address] = ()


def choose(
    candidates: Sequence[Peer],
    wanted: Wanted,
    now_s: float,
    rng: random.Random,
) -> Peer | None:
    """Return the candidate with the earliest predicted finish, or `None`.

    Candidates that were already tried are skipped. One that seems to be down
    is chosen only when there is no other.
    """
    best: Peer | None = None
    best_ms = float('inf')
    for peer in candidates:
        if peer.address in wanted.tried:
            continue
        cost_ms = predict_ms(peer, wanted, now_s)
        cost_ms += _NOISE_MS * rng.random()
        if peer.down_until_s > now_s:
            cost_ms += _FAILURE_MS * _MS_PER_S
        if cost_ms < best_ms:
            best = peer
            best_ms = cost_ms
    return best


def predict_ms(peer: Peer, wanted: Wanted, now_s: float) -> float:
    """Predict the cost of a request on a peer, as a delay.

    Sums network time, queueing, service time, the risk of a failure and the
    current slowdown.
    """
    base_ms = wanted.work_ms * _base(peer)
    waiting = max(0, _busy(peer) + 1 - peer.room)
    queue_ms = base_ms * waiting / peer.room
    success = max(_LEAST_SUCCESS, _success(peer, now_s))
    failing_ms = (1 - success) / success * _FAILURE_MS
    way_ms = (
        peer.round_trip_ms + (0, wanted.near_ms, wanted.far_ms)[peer.distance]
    )
    return (
        way_ms
        + queue_ms
        + base_ms
        + failing_ms
        + _slow_ms(peer, wanted.work_ms, now_s)
    )


def _busy(peer: Peer) -> float:
    load = peer.load
    if load is None:
        return peer.in_flight
    sent_since = max(0, peer.in_flight - peer.in_flight_then)
    return max(peer.in_flight, load.running + load.waiting + sent_since)


def _base(peer: Peer) -> float:
    load = peer.load
    return 1 if load is None else load.base_percent / _USUAL_PERCENT


def _slow_ms(peer: Peer, work_ms: float, now_s: float) -> float:
    """Predict the delay by a temporary slowdown.

    The prediction fades with the age of the load report and is zero once the
    report is older than two typical slow spells.
    """
    load = peer.load
    if load is None or load.pace_percent <= load.base_percent:
        return 0
    lost = (load.pace_percent - load.base_percent) / _USUAL_PERCENT
    age_ms = (now_s - peer.load_at_s) * _MS_PER_S
    spell_ms = max(1, load.slow_spell_ms)
    still_so = max(0, 1 - age_ms / (2 * spell_ms))
    return still_so * min(work_ms * lost, spell_ms)


def _success(peer: Peer, now_s: float) -> float:
    own = peer.success.at(now_s)
    load = peer.load
    if load is None:
        return own
    return min(own, load.success_permille / _PERMILLE)
