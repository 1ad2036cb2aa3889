"""Headers sent with each call."""

from typing import Final

REQUEST_ID_HEADER: Final = b'x-carobmoor-request-id'
SERVICE_HEADER: Final = b'x-carobmoor-service'
RANK_HEADER: Final = b'x-carobmoor-rank'
CALLER_HEADER: Final = b'x-carobmoor-caller'
# Time left in ms, which needs no synchronised clocks.
DEADLINE_HEADER: Final = b'x-carobmoor-deadline-ms'
DEPTH_HEADER: Final = b'x-carobmoor-depth'
# Owner node chosen by the client; absent from callers without it.
OWNER_HEADER: Final = b'x-carobmoor-owner'
# Number of this attempt in the whole chain of calls, from 1.
ATTEMPT_HEADER: Final = b'x-carobmoor-attempt'
# Attempts that the chain may still add for this call.
RETRIES_LEFT_HEADER: Final = b'x-carobmoor-retries-left'
