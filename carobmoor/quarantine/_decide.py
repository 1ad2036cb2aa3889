"""Quarantine decisions, as functions over the state and a passed-in time."""

from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.quarantine._fingerprint import RequestIdentity, fingerprint_of
from carobmoor.quarantine._messages import (
    Mark,
    Restriction,
    RestrictionDecision,
)
from carobmoor.quarantine._state import QuarantineState, export_marks, join

_MS_PER_S: Final = 1000
_CRASHES_TO_QUARANTINE: Final = 2
_MAX_NAME_LENGTH: Final = 512
_FREE: Final = RestrictionDecision(Restriction.FREE)


def decide_restriction(
    state: QuarantineState,
    fingerprint: str,
    this_node: str,
    nodes: Sequence[str],
    now_s: float,
) -> RestrictionDecision:
    """Return whether and how a request may run on this node.

    `this_node` and `nodes` are the addresses of this node and of all nodes
    of its service.
    """
    mark = state.marks.get(fingerprint)
    if mark is None or state.expires_at_s[fingerprint] <= now_s:
        return _FREE
    crashes = len(mark.uncleared_crashes)
    if not crashes:
        return _FREE
    if crashes >= _CRASHES_TO_QUARANTINE:
        remaining_s = round(state.expires_at_s[fingerprint] - now_s)
        reason = (
            f'quarantined after {crashes} crashes for another {remaining_s} s'
        )
        return RestrictionDecision(Restriction.QUARANTINED, reason)
    owner = choose_owner(mark, nodes)
    if owner == this_node:
        return RestrictionDecision(
            Restriction.ALONE, 'was in flight when a backend server crashed'
        )
    reason = f'in flight when a backend server crashed; only {owner} runs it'
    return RestrictionDecision(Restriction.ELSEWHERE, reason)


def choose_owner(mark: Mark, nodes: Sequence[str]) -> str:
    """Choose the only node that runs a marked request, by rendezvous hashing.

    Nodes whose backend server crashed with the request in flight are chosen
    only if there are no others, since that server may still be down. Returns
    an empty string if `nodes` is empty.
    """
    crashed_nodes = {
        crash_id.partition('/')[0] for crash_id in mark.uncleared_crashes
    }
    candidates = [node for node in nodes if node not in crashed_nodes] or nodes
    return max(
        candidates,
        key=lambda node: _weight(mark, node),
        default='',
    )


def record_crash(
    state: QuarantineState,
    requests: Sequence[RequestIdentity],
    crash_id: str,
    now_s: float,
) -> Sequence[Mark]:
    """Mark the requests in flight during a crash and return their marks."""
    return [
        _mark_request(state, request, crash_id, now_s) for request in requests
    ]


def clear_mark(state: QuarantineState, fingerprint: str) -> Mark | None:
    """Clear all crashes of a request; return `None` if it has no mark."""
    mark = state.marks.get(fingerprint)
    if mark is None:
        return None
    cleared = join(mark, mark._replace(cleared_ids=mark.crash_ids))
    state.put(cleared, state.expires_at_s[fingerprint])
    return cleared


def drop_expired(state: QuarantineState, now_s: float) -> None:
    """Drop the marks that have expired."""
    expired = [
        name
        for name, expires_at_s in state.expires_at_s.items()
        if expires_at_s <= now_s
    ]
    for fingerprint in expired:
        state.remove(fingerprint)


def list_marks(state: QuarantineState, now_s: float) -> Sequence[Mark]:
    """Return the marks with at least one crash that is not cleared."""
    return [
        mark for mark in export_marks(state, now_s) if mark.uncleared_crashes
    ]


def _weight(mark: Mark, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{mark.fingerprint} {node}'.encode())


def _mark_request(
    state: QuarantineState,
    request: RequestIdentity,
    crash_id: str,
    now_s: float,
) -> Mark:
    mark = Mark(
        fingerprint_of(request),
        request.service,
        request.method,
        request.route[:_MAX_NAME_LENGTH],
        request.caller,
        (crash_id,),
        (),
        0,
    )
    existing = state.marks.get(mark.fingerprint)
    if existing is not None:
        mark = join(existing, mark)
    policy = state.policy
    is_quarantined = len(mark.uncleared_crashes) >= _CRASHES_TO_QUARANTINE
    duration_ms = policy.quarantine_ms if is_quarantined else policy.mark_ms
    state.put(mark, now_s + duration_ms / _MS_PER_S)
    return mark
