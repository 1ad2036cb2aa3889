"""Quarantine decisions, as functions over the state and a passed-in time."""

from collections.abc import Sequence
from typing import Final

import xxhash

from carobmoor.quarantine._fingerprint import Suspect, fingerprint_of
from carobmoor.quarantine._messages import Mark, Position, Ruling
from carobmoor.quarantine._state import QuarantineState, export, join

_MS_PER_S: Final = 1000
_CRASHES_TO_QUARANTINE: Final = 2
_LONGEST_NAME: Final = 512
_FREE: Final = Ruling(Position.FREE)


def judge(
    state: QuarantineState,
    fingerprint: str,
    here: str,
    nodes: Sequence[str],
    now_s: float,
) -> Ruling:
    """Return whether and how a request may run on this node.

    `here` and `nodes` are the addresses of this node and of all nodes of its
    service.
    """
    mark = state.marks.get(fingerprint)
    if mark is None or state.ends_s[fingerprint] <= now_s:
        return _FREE
    crashes = len(mark.open_crashes)
    if not crashes:
        return _FREE
    if crashes >= _CRASHES_TO_QUARANTINE:
        left_s = round(state.ends_s[fingerprint] - now_s)
        reason = (
            f'{crashes} backend server crashes; quarantine ends in {left_s} s'
        )
        return Ruling(Position.QUARANTINED, reason)
    owner = owner_of(mark, nodes)
    if owner == here:
        return Ruling(
            Position.ALONE, 'was in flight when a backend server crashed'
        )
    reason = f'in flight when a backend server crashed; only {owner} runs it'
    return Ruling(Position.ELSEWHERE, reason)


def owner_of(mark: Mark, nodes: Sequence[str]) -> str:
    """Choose the only node that runs a marked request, by rendezvous hashing.

    Nodes whose backend server crashed with the request in flight are chosen
    only if there are no others, since that server may still be down. Returns
    an empty string if `nodes` is empty.
    """
    crashed = {crash_id.partition('/')[0] for crash_id in mark.open_crashes}
    fresh = [node for node in nodes if node not in crashed] or nodes
    return max(
        fresh,
        key=lambda node: _weight(mark, node),
        default='',
    )


def blame(
    state: QuarantineState,
    suspects: Sequence[Suspect],
    crash_id: str,
    now_s: float,
) -> Sequence[Mark]:
    """Mark the requests in flight during a crash and return their marks."""
    return [_blame_one(state, suspect, crash_id, now_s) for suspect in suspects]


def absolve(state: QuarantineState, fingerprint: str) -> Mark | None:
    """Clear all crashes of a request; return `None` if it has no mark."""
    mark = state.marks.get(fingerprint)
    if mark is None:
        return None
    cleared = join(mark, mark._replace(cleared_ids=mark.crash_ids))
    state.keep(cleared, state.ends_s[fingerprint])
    return cleared


def expire(state: QuarantineState, now_s: float) -> None:
    """Drop the marks that have expired."""
    over = [name for name, ends_s in state.ends_s.items() if ends_s <= now_s]
    for fingerprint in over:
        state.drop(fingerprint)


def list_marks(state: QuarantineState, now_s: float) -> Sequence[Mark]:
    """Return the marks with at least one crash that is not cleared."""
    return [mark for mark in export(state, now_s) if mark.open_crashes]


def _weight(mark: Mark, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{mark.fingerprint} {node}'.encode())


def _blame_one(
    state: QuarantineState,
    suspect: Suspect,
    crash_id: str,
    now_s: float,
) -> Mark:
    mark = Mark(
        fingerprint_of(suspect),
        suspect.service,
        suspect.method,
        suspect.route[:_LONGEST_NAME],
        suspect.caller,
        (crash_id,),
        (),
        0,
    )
    known = state.marks.get(mark.fingerprint)
    if known is not None:
        mark = join(known, mark)
    policy = state.policy
    is_second = len(mark.open_crashes) >= _CRASHES_TO_QUARANTINE
    lasts_ms = policy.quarantine_ms if is_second else policy.mark_ms
    state.keep(mark, now_s + lasts_ms / _MS_PER_S)
    return mark
