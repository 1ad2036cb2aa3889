"""Bytes of another writer raise one kind of error, and never end a task."""

import re
from pathlib import Path

import msgspec
from nose2.tools import params

from carobmoor.decoding import Count, decode_json, decoder_of, repair_json
from carobmoor.decoding.tests.odd_values import ODD_VALUES


class Entry(msgspec.Struct):
    """An entry with a field of each kind."""

    count: Count = 0
    text: str = ''


# Guards against a `RecursionError`, which no reader of messages expects.
@params(*ODD_VALUES)
def test_odd_value_is_decoded_or_refused(odd):
    """An odd value in a known, a skipped or no field raises one error."""
    for encoded in (odd, b'{"count":%b}' % odd, b'{"skipped":%b}' % odd):
        for expected_type in (Entry, object, list[Entry]):
            try:
                decode_json(encoded, expected_type)
            except msgspec.DecodeError as error:
                assert str(error)


# Guards against a list that nobody can read because of one odd entry.
@params(*ODD_VALUES[:2])
def test_deep_values_become_null(deep):
    """What is nested too deeply becomes null; the rest stays as it is."""
    encoded = rb'[{"text":"a[{\"]"},{"skipped":%b},{"count":3}]' % deep
    entries = decoder_of(list[Entry])(repair_json(encoded))
    assert entries == [Entry(0, 'a[{"]'), Entry(), Entry(3)]


@params(
    (r'"\ud800"', '\ufffd'),
    (r'"\udc00\ud83d\ude00"', '\ufffd\U0001f600'),
    (r'"\\ud800"', r'\ud800'),
)
def test_lone_surrogates_are_replaced(encoded, text):
    """A surrogate without its other half becomes a replacement character."""
    assert decode_json(repair_json(encoded.encode()), str) == text


def test_shallow_content_stays():
    """Content without odd values is returned as it is."""
    encoded = rb'[[["]"], {"a": [1, "\\"]}], 2]'
    assert repair_json(encoded) == encoded


# Guards against another decoder, whose readers expect only some of its errors.
def test_no_other_module_decodes_json():
    """Only `carobmoor.decoding` decodes what another process wrote."""
    sources = Path(__file__).parents[2]
    decoding = {
        path.relative_to(sources).as_posix()
        for path in sources.rglob('*.py')
        if 'tests' not in path.parts
        and re.search(r'json\.(decode|Decoder|loads)\b', path.read_text())
    }
    assert decoding == {'decoding/_decoder.py'}
