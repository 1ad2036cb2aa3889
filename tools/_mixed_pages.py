"""Compares the metrics pages and OpenAPI documents of two nodes.

Values of metrics and descriptions are not compared.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from prometheus_client.parser import text_string_to_metric_families

from tools._mixed_report import Outcome

_DESCRIPTION: Final = 'description'
_MAX_SHOWN: Final = 6


def names_and_labels(page: str) -> frozenset[str]:
    """List the metric families with types and the samples with labels."""
    named = set()
    for family in text_string_to_metric_families(page):
        named.add(f'{family.name} {family.type}')
        for sample in family.samples:
            named.add(f'{sample.name} {sorted(sample.labels)}')
    return frozenset(named)


def lines_of(document: Any, path: str = '') -> frozenset[str]:
    """List the paths of a document with their values.

    Descriptions are left out at any depth.
    """
    if isinstance(document, Mapping):
        entries = document.items()
    elif isinstance(document, Sequence) and not isinstance(document, str):
        entries = dict(enumerate(document)).items()
    else:
        return frozenset((f'{path}={document}',))
    inner = [
        lines_of(content, f'{path}/{name}')
        for name, content in entries
        if name != _DESCRIPTION
    ]
    return frozenset({f'{path}/'}.union(*inner))


def compare(
    first: frozenset[str], second: frozenset[str], min_count: int = 1
) -> Outcome:
    """Compare two sets; shows some of the lines that only one of them has.

    Equal sets of fewer than `min_count` lines fail as well.
    """
    only_first = sorted(first - second)
    only_second = sorted(second - first)
    if only_first or only_second:
        shown = (only_first[:_MAX_SHOWN], only_second[:_MAX_SHOWN])
        return Outcome('the same at both', f'only at one each: {shown}')
    if len(first) < min_count:
        return Outcome(f'{min_count} or more', len(first))
    return Outcome(f'{len(first)} the same', f'{len(second)} the same')
