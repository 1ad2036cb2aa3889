"""Decoding of JSON that another process has written."""

from carobmoor.decoding._decoder import Decode, decode_json, decoder_of
from carobmoor.decoding._numbers import MAX_COUNT, Count, NonNegative
from carobmoor.decoding._repair import repair_json

__all__ = [
    'MAX_COUNT',
    'Count',
    'Decode',
    'NonNegative',
    'decode_json',
    'decoder_of',
    'repair_json',
]
