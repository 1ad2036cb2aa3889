"""Marks, decisions about them, and their encoding between nodes."""

import enum
from collections.abc import Sequence
from typing import Annotated, Final, NamedTuple

import msgspec

from carobmoor.decoding import decoder_of
from carobmoor.quarantine._fingerprint import RequestIdentity

_MAX_NAME_LENGTH: Final = 512
_MAX_CRASHES: Final = 16
_MAX_MARKS: Final = 10_000
_MAX_DURATION_MS: Final = 86_400_000

Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
CrashIds = Annotated[tuple[Name, ...], msgspec.Meta(max_length=_MAX_CRASHES)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=_MAX_DURATION_MS)]


class QuarantinePolicy(NamedTuple):
    """The duration of marks and quarantines, and the limit on marks."""

    mark_ms: int = 600_000
    quarantine_ms: int = 1_800_000
    most_marks: int = 1000


class Mark(NamedTuple):
    """The crashes during which one request was in flight.

    `crash_ids` and `cleared_ids` are grow-only sets, so merging the marks of
    two nodes gives the same result in any order. Each crash id starts with
    the address of the node whose backend server crashed.
    """

    fingerprint: Name
    service: Name
    method: Name
    route: Name
    caller: Name
    crash_ids: CrashIds
    cleared_ids: CrashIds
    # Time until the mark expires, counted from the sending of the message.
    left_ms: Milliseconds

    @property
    def uncleared_crashes(self) -> Sequence[str]:
        """The crashes that have not been cleared."""
        return [one for one in self.crash_ids if one not in self.cleared_ids]


class Permit(NamedTuple):
    """Permission to run a request; released with `Quarantine.release`."""

    number: int
    request: RequestIdentity
    # Empty if the request has no mark.
    marked_fingerprint: str


class Restriction(enum.Enum):
    """How a mark restricts a request on this node."""

    FREE = 'free'
    ALONE = 'alone'
    ELSEWHERE = 'elsewhere'
    QUARANTINED = 'quarantined'


class RestrictionDecision(NamedTuple):
    """A restriction, with the reason that is sent to the caller."""

    restriction: Restriction
    reason: str = ''


MarkList = Annotated[list[Mark], msgspec.Meta(max_length=_MAX_MARKS)]

_decode: Final = decoder_of(MarkList)


def encode_marks(marks: Sequence[Mark]) -> bytes:
    """Encode marks as JSON."""
    return msgspec.json.encode(marks)


def decode_marks(body: bytes) -> Sequence[Mark]:
    """Decode marks; raises `msgspec.DecodeError`, also beyond a limit."""
    return _decode(body)
