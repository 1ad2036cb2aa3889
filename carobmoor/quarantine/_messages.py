"""Marks, rulings, and what nodes tell each other of marks."""

import enum
from collections.abc import Sequence
from typing import Annotated, Final, NamedTuple

import msgspec

from carobmoor.quarantine._fingerprint import Suspect

_LONGEST_NAME: Final = 512
_MOST_CRASHES: Final = 16
_MOST_MARKS: Final = 10_000
_LONGEST_MS: Final = 86_400_000

Name = Annotated[str, msgspec.Meta(max_length=_LONGEST_NAME)]
CrashIds = Annotated[tuple[Name, ...], msgspec.Meta(max_length=_MOST_CRASHES)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=_LONGEST_MS)]


class QuarantinePolicy(NamedTuple):
    """How long marks and quarantines last, and how many are kept."""

    mark_ms: int = 600_000
    quarantine_ms: int = 1_800_000
    most_marks: int = 1000


class Mark(NamedTuple):
    """What is held against one request.

    `crash_ids` and `cleared_ids` only ever grow, so that marks of two nodes
    merge to the same whatever the order. Each crash id names the node beside
    the backend server that died.
    """

    fingerprint: Name
    service: Name
    method: Name
    route: Name
    caller: Name
    crash_ids: CrashIds
    cleared_ids: CrashIds
    # How long it lasts from the sending of this message.
    left_ms: Milliseconds

    @property
    def open_crashes(self) -> Sequence[str]:
        """The crashes that are still held against the request."""
        return [one for one in self.crash_ids if one not in self.cleared_ids]


class Permit(NamedTuple):
    """Leave to run a request; given back with `Quarantine.leave`."""

    number: int
    suspect: Suspect
    # Empty for a request without a mark.
    marked_fingerprint: str


class Position(enum.Enum):
    """What a mark means for a request at this node."""

    FREE = 'free'
    ALONE = 'alone'
    ELSEWHERE = 'elsewhere'
    QUARANTINED = 'quarantined'


class Ruling(NamedTuple):
    """A position, with the reason as told to the caller."""

    position: Position
    reason: str = ''


MarkList = Annotated[list[Mark], msgspec.Meta(max_length=_MOST_MARKS)]

_decoder: Final = msgspec.json.Decoder(MarkList)


def encode_marks(marks: Sequence[Mark]) -> bytes:
    """Write marks as a message."""
    return msgspec.json.encode(marks)


def decode_marks(body: bytes) -> Sequence[Mark]:
    """Read marks; raises `msgspec.DecodeError`, also for one too large."""
    return _decoder.decode(body)
