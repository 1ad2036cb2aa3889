"""What a node does about its proof."""

from carobmoor.freshness._policy import FreshnessPolicy
from carobmoor.freshness._state import Freshness, age_s


def is_fresh(
    state: Freshness, policy: FreshnessPolicy, version: int, now_s: float
) -> bool:
    """Return whether a request that has arrived may be accepted by its key."""
    return age_s(state, version, now_s) <= policy.max_age_s


def is_question_due(
    state: Freshness,
    policy: FreshnessPolicy,
    version: int,
    now_s: float,
    *,
    reads_for_region: bool,
) -> bool:
    """Return whether to ask other nodes now.

    The node that reads for its region asks only if its reads fail.
    """
    if now_s - state.asked_at_s < policy.ask_interval_s:
        return False
    due_s = (
        policy.read_unanswered_s if reads_for_region else policy.ask_interval_s
    )
    return age_s(state, version, now_s) >= due_s


def is_read_due(
    state: Freshness,
    policy: FreshnessPolicy,
    version: int,
    now_s: float,
    *,
    reads_for_region: bool,
) -> bool:
    """Return whether to read the store now, unless a read is under way."""
    due_s = (
        policy.read_interval_s if reads_for_region else policy.read_unanswered_s
    )
    return age_s(state, version, now_s) >= due_s
