"""The marks known to a node, bounded in number and lifetime."""

from collections.abc import Sequence
from typing import Final

from carobmoor.quarantine._messages import Mark, QuarantinePolicy

_MS_PER_S: Final = 1000
_MOST_CRASHES: Final = 16
_DEFAULTS: Final = QuarantinePolicy()


class QuarantineState:
    """The marks by fingerprint, each with its expiry time."""

    def __init__(self, policy: QuarantinePolicy = _DEFAULTS) -> None:
        """Start without marks."""
        self.policy = policy
        self.marks: dict[str, Mark] = {}
        # Expiry times on the monotonic clock of this process.
        self.ends_s: dict[str, float] = {}

    def keep(self, mark: Mark, ends_s: float) -> None:
        """Store a mark, dropping those that expire first beyond the limit."""
        self.marks[mark.fingerprint] = mark
        self.ends_s[mark.fingerprint] = ends_s
        while len(self.marks) > self.policy.most_marks:
            self.drop(min(self.ends_s, key=self.ends_s.__getitem__))

    def drop(self, fingerprint: str) -> None:
        """Remove a mark, if present."""
        self.marks.pop(fingerprint, None)
        self.ends_s.pop(fingerprint, None)


def export(state: QuarantineState, now_s: float) -> Sequence[Mark]:
    """Return the marks that have not expired, with their remaining time."""
    return [
        mark._replace(left_ms=int((state.ends_s[name] - now_s) * _MS_PER_S))
        for name, mark in state.marks.items()
        if state.ends_s[name] > now_s
    ]


def merge(
    state: QuarantineState,
    marks: Sequence[Mark],
    now_s: float,
) -> bool:
    """Merge the marks of another node; return whether anything was new.

    Marks carry their remaining time rather than an expiry date, so clock skew
    between instances has no effect. It is capped by the policy of this node.
    """
    is_new = False
    longest_ms = max(state.policy.mark_ms, state.policy.quarantine_ms)
    for heard in marks:
        left_ms = min(heard.left_ms, longest_ms)
        known = state.marks.get(heard.fingerprint)
        joined = heard if known is None else join(known, heard)
        ends_s = max(
            now_s + left_ms / _MS_PER_S,
            state.ends_s.get(heard.fingerprint, 0),
        )
        is_new = is_new or joined != known
        state.keep(joined, ends_s)
    return is_new


def join(known: Mark, heard: Mark) -> Mark:
    """Merge two marks of the same request."""
    return known._replace(
        crash_ids=_unite(known.crash_ids, heard.crash_ids),
        cleared_ids=_unite(known.cleared_ids, heard.cleared_ids),
    )


def _unite(one: Sequence[str], other: Sequence[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other})[-_MOST_CRASHES:])
