"""The times of proofs, as shares of the bound on revocation."""

from typing import Final, NamedTuple

# The rest covers clocks that run at different speeds.
_MAX_AGE_SHARE: Final = 0.95
# A node that has just lost its way to the store must go on for 0.6 of the
# bound; until then its proof may be as old as one read and one question apart.
_READ_SHARE: Final = 0.2
_ASK_SHARE: Final = 0.1
# Without an answer from the node that reads for its region.
_READ_UNANSWERED_SHARE: Final = 0.35


class FreshnessPolicy(NamedTuple):
    """How old a proof may be, and when it is renewed."""

    # Time from the removal of a key until nothing runs with it.
    revocation_s: float

    @property
    def max_age_s(self) -> float:
        """Age beyond which requests with a key are refused."""
        return _MAX_AGE_SHARE * self.revocation_s

    @property
    def ask_interval_s(self) -> float:
        """Age from which other nodes are asked, and time between questions."""
        return _ASK_SHARE * self.revocation_s

    @property
    def read_interval_s(self) -> float:
        """Age from which the region's reader reads, and time between reads."""
        return _READ_SHARE * self.revocation_s

    @property
    def read_unanswered_s(self) -> float:
        """Age from which any node reads the store itself."""
        return _READ_UNANSWERED_SHARE * self.revocation_s
