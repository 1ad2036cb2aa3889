"""The marks known to a node, bounded in number and lifetime."""

from collections.abc import Sequence
from typing import Final

from carobmoor.quarantine._messages import Mark, QuarantinePolicy

_MS_PER_S: Final = 1000
_MAX_CRASHES: Final = 16
_DEFAULT_POLICY: Final = QuarantinePolicy()


class QuarantineState:
    """The marks by fingerprint, each with its expiry time."""

    def __init__(self, policy: QuarantinePolicy = _DEFAULT_POLICY) -> None:
        """Start without marks."""
        self.policy = policy
        self.marks: dict[str, Mark] = {}
        # Expiry times on the monotonic clock of this process.
        self.expires_at_s: dict[str, float] = {}

    def put(self, mark: Mark, expires_at_s: float) -> None:
        """Store a mark, dropping those that expire first beyond the limit."""
        self.marks[mark.fingerprint] = mark
        self.expires_at_s[mark.fingerprint] = expires_at_s
        while len(self.marks) > self.policy.most_marks:
            self.remove(
                min(self.expires_at_s, key=self.expires_at_s.__getitem__)
            )

    def remove(self, fingerprint: str) -> None:
        """Remove a mark, if present."""
        self.marks.pop(fingerprint, None)
        self.expires_at_s.pop(fingerprint, None)


def export_marks(state: QuarantineState, now_s: float) -> Sequence[Mark]:
    """Return the marks that have not expired, with their remaining time."""
    return [
        mark._replace(
            left_ms=int((state.expires_at_s[name] - now_s) * _MS_PER_S)
        )
        for name, mark in state.marks.items()
        if state.expires_at_s[name] > now_s
    ]


def merge_marks(
    state: QuarantineState,
    marks: Sequence[Mark],
    now_s: float,
) -> bool:
    """Merge the marks of another node; return whether anything was new.

    Marks carry their remaining time rather than an expiry date, so clock skew
    between instances has no effect. It is capped by the policy of this node.
    """
    is_new = False
    max_ms = max(state.policy.mark_ms, state.policy.quarantine_ms)
    for received in marks:
        remaining_ms = min(received.left_ms, max_ms)
        known = state.marks.get(received.fingerprint)
        merged = received if known is None else join(known, received)
        expires_at_s = max(
            now_s + remaining_ms / _MS_PER_S,
            state.expires_at_s.get(received.fingerprint, 0),
        )
        is_new = is_new or merged != known
        state.put(merged, expires_at_s)
    return is_new


def join(known: Mark, received: Mark) -> Mark:
    """Merge two marks of the same request."""
    return known._replace(
        crash_ids=_union(known.crash_ids, received.crash_ids),
        cleared_ids=_union(known.cleared_ids, received.cleared_ids),
    )


def _union(one: Sequence[str], other: Sequence[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other})[-_MAX_CRASHES:])
