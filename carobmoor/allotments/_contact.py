"""Which nodes of the region a node hears from, and how far it trusts that.

Nodes send each other a datagram per interval, which grows with the region. A
node that is cut off, alone or with others, must notice before it uses shares
that others use as well.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

# A node counts as heard from for so many intervals, and for this time besides.
_HEARD_INTERVALS: Final = 1.3
_HEARD_MARGIN_S: Final = 0.1
# A node is alone if it heard from nobody for so many times the mean time
# between two datagrams, and for this time at least.
_ALONE_DATAGRAMS: Final = 3.2
_MIN_ALONE_S: Final = 0.5
# While others may still count on a node that is alone, it uses no more of its
# share than that of so many seconds.
_UNNOTICED_S: Final = 1
# A node is cut off with others if it heard less than this part of the datagrams
# expected in a second.
_MIN_HEARD_PART: Final = 0.6


class Contact(NamedTuple):
    """The nodes heard from, and the part of the share that may be used."""

    heard: frozenset[str]
    trust: float = 1


def contact_of(ages_s: Mapping[str, float], interval_s: float) -> Contact:
    """Judge by the age of the last datagram of each other node of the region.

    >>> contact_of({'a': 0.1, 'b': 0.2, 'c': 9}, 0.25).heard == {'a', 'b'}
    True
    """
    heard_s = _HEARD_INTERVALS * interval_s + _HEARD_MARGIN_S
    if _is_alone(ages_s, interval_s):
        is_noticed = min(ages_s.values()) > heard_s
        trust = 1 if is_noticed else min(1, _UNNOTICED_S / heard_s)
        return Contact(frozenset(), trust)
    heard = frozenset(ip for ip, age_s in ages_s.items() if age_s <= heard_s)
    expected = len(heard) * min(1, 1 / interval_s)
    recent = sum(1 for age_s in ages_s.values() if age_s <= 1)
    part = recent / expected if expected else 1
    return Contact(heard, 1 if part >= _MIN_HEARD_PART else part)


def _is_alone(ages_s: Mapping[str, float], interval_s: float) -> bool:
    if not ages_s:
        return False
    mean_gap_s = interval_s / len(ages_s)
    max_silence_s = max(_MIN_ALONE_S, _ALONE_DATAGRAMS * mean_gap_s)
    return min(ages_s.values()) > max_silence_s
