"""Comparing two documents field by field."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from carobmoor.configuration._document import Document

_ABSENT: Final = 'absent'


class Difference(NamedTuple):
    """A field that differs, with both values as text."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the difference as one line for an operator."""
        return f'{self.path}: {self.before} -> {self.after}'


def find_differences(before: Document, after: Document) -> Sequence[Difference]:
    """List the fields that differ; ranks are matched by name."""
    return list(
        _compare('$', _with_ranks_by_name(before), _with_ranks_by_name(after))
    )


def _with_ranks_by_name(document: Document) -> Mapping[str, Any]:
    ranks = {rank['name']: rank for rank in document['ranks']}
    return {**document, 'ranks': ranks}


def _compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for name in sorted(before.keys() | after.keys()):
            yield from _compare(
                f'{path}.{name}',
                before.get(name, _ABSENT),
                after.get(name, _ABSENT),
            )
    elif before != after:
        yield Difference(path, _to_text(before), _to_text(after))


def _to_text(content: Any) -> str:
    return 'present' if isinstance(content, Mapping) else str(content)
