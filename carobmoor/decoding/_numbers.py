"""Bounds of the numbers in messages."""

from typing import Annotated, Final

import msgspec

# What fits into 64 bits can be encoded again, and converted to a float.
MAX_COUNT: Final = 9_223_372_036_854_775_807
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
