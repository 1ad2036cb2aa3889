"""Decoders that raise one kind of error, whatever the bytes."""

from collections.abc import Callable
from typing import Any

import msgspec

Decode = Callable[[bytes | str], Any]


def decoder_of(expected_type: Any, strict: bool = True) -> Decode:
    """Return a function that decodes JSON into a type.

    It raises `msgspec.DecodeError` for everything that it can't decode, also
    for values that are nested too deeply, in fields that it skips as well::

        decode = decoder_of(list[int])
        decode(b'[1, 2]')

    If not `strict`, numbers may be given as text.
    """
    decoder = msgspec.json.Decoder(expected_type, strict=strict)

    def decode(content: bytes | str) -> Any:
        try:
            return decoder.decode(content)
        except (RecursionError, ValueError) as error:
            # `DecodeError` is a `ValueError` itself.
            raise msgspec.DecodeError(str(error)) from error

    return decode


def decode_json(content: bytes | str, expected_type: Any = Any) -> Any:
    """Decode JSON into a type, as a function of `decoder_of` does."""
    return decoder_of(expected_type)(content)
