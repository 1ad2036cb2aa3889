"""Removal of values that make all of a message undecodable."""

import re
from typing import Final

# Deeper values can't be decoded on every stack.
_MAX_DEPTH: Final = 64
_TOKEN: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)
# An escaped backslash, a pair of surrogates, or a surrogate without another.
_ESCAPE: Final = re.compile(
    rb'\\\\|\\u[dD][89aAbB]\w\w\\u[dD][c-fC-F]\w\w|\\u[dD][89a-fA-F]\w\w',
)
_ESCAPE_BYTES: Final = 6
_REPLACEMENT: Final = '\ufffd'.encode()
_OPENING: Final = frozenset((b'[', b'{'))
_CLOSING: Final = frozenset((b']', b'}'))


def repair_json(content: bytes) -> bytes:
    """Replace what can't be decoded, so that one odd entry hides no others.

    Values that are nested more than 64 deep become `null`, and surrogates
    without their other half the replacement character.
    """
    return _ESCAPE.sub(_replace_lone, _drop_deep_values(content))


def _replace_lone(escape: re.Match[bytes]) -> bytes:
    return _REPLACEMENT if len(escape[0]) == _ESCAPE_BYTES else escape[0]


def _drop_deep_values(content: bytes) -> bytes:
    kept: list[bytes] = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(content):
        if token[0] in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.extend((content[kept_until : token.start()], b'null'))
        elif token[0] in _CLOSING:
            depth -= 1
            if depth == _MAX_DEPTH:
                kept_until = token.end()
    if depth <= _MAX_DEPTH:
        kept.append(content[kept_until:])
    return b''.join(kept)
