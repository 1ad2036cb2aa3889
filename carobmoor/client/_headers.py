"""The headers that travel with a call."""

from typing import Final

REQUEST_ID_HEADER: Final = b'x-carobmoor-request-id'
SERVICE_HEADER: Final = b'x-carobmoor-service'
RANK_HEADER: Final = b'x-carobmoor-rank'
CALLER_HEADER: Final = b'x-carobmoor-caller'
# The time left, in milliseconds; no clock of another machine matters.
DEADLINE_HEADER: Final = b'x-carobmoor-deadline-ms'
DEPTH_HEADER: Final = b'x-carobmoor-depth'
# Names the owner node that the library chose; absent from plain callers.
OWNER_HEADER: Final = b'x-carobmoor-owner'
# Which attempt of the whole chain of calls this is, from 1.
ATTEMPT_HEADER: Final = b'x-carobmoor-attempt'
# How many further attempts the chain may still make for this call.
RETRIES_LEFT_HEADER: Final = b'x-carobmoor-retries-left'
