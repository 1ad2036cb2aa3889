"""What pages of nodes name: metrics with their labels, control paths.

Values are left out, and what describes in words.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from prometheus_client.parser import text_string_to_metric_families

from tools._mixed_report import Came

_DESCRIPTION: Final = 'description'
_SHOWN: Final = 6


def names_and_labels(page: str) -> frozenset[str]:
    """List the families with their types, and the samples with their labels.

    A family without samples counts by its name and type only.
    """
    named = set()
    for family in text_string_to_metric_families(page):
        named.add(f'{family.name} {family.type}')
        for sample in family.samples:
            named.add(f'{sample.name} {sorted(sample.labels)}')
    return frozenset(named)


def without_descriptions(document: Any) -> Any:
    """Give an OpenAPI document without its descriptions, at any depth."""
    if isinstance(document, Mapping):
        return {
            name: without_descriptions(content)
            for name, content in document.items()
            if name != _DESCRIPTION
        }
    if isinstance(document, Sequence) and not isinstance(document, str):
        return [without_descriptions(content) for content in document]
    return document


def lines_of(document: Any, path: str = '') -> frozenset[str]:
    """Write a document as a set of lines, each a path with its content."""
    if isinstance(document, Mapping):
        entries = document.items()
    elif isinstance(document, Sequence) and not isinstance(document, str):
        entries = dict(enumerate(document)).items()
    else:
        return frozenset((f'{path}={document}',))
    inner = [lines_of(content, f'{path}/{name}') for name, content in entries]
    return frozenset({f'{path}/'}.union(*inner))


def compare(
    first: frozenset[str],
    second: frozenset[str],
    least: int = 1,
) -> Came:
    """Compare what two builds name; shows the first of what only one has.

    Fewer than `least` are no page at all, so equal or not they fail.
    """
    only_first = sorted(first - second)
    only_second = sorted(second - first)
    if only_first or only_second:
        shown = (only_first[:_SHOWN], only_second[:_SHOWN])
        return Came('the same at both', f'only at one each: {shown}')
    if len(first) < least:
        return Came(f'{least} or more', len(first))
    return Came(f'{len(first)} the same', f'{len(second)} the same')
