"""Which nodes are in the cluster, spread by gossip without a central list.

The decisions are plain functions over `MembershipState`; `Gossip` is the
task that owns the socket and exchanges updates with other nodes.
"""

from carobmoor.membership._gossip import Gossip
from carobmoor.membership._merge import merge, set_own_status, suspect
from carobmoor.membership._messages import (
    Member,
    MemberStatus,
    Zone,
    decode_members,
)
from carobmoor.membership._rendezvous import is_chosen
from carobmoor.membership._seeds import join, maintain_seed_rows
from carobmoor.membership._signing import is_signed, sign
from carobmoor.membership._socket import TrafficCounts
from carobmoor.membership._state import MembershipState
from carobmoor.membership._sync import (
    SIGNATURE_HEADER,
    PeerClient,
    answer_digests,
    answer_helpers,
    answer_members,
)

__all__ = [
    'SIGNATURE_HEADER',
    'Gossip',
    'Member',
    'MemberStatus',
    'MembershipState',
    'PeerClient',
    'TrafficCounts',
    'Zone',
    'answer_digests',
    'answer_helpers',
    'answer_members',
    'decode_members',
    'is_chosen',
    'is_signed',
    'join',
    'maintain_seed_rows',
    'merge',
    'set_own_status',
    'sign',
    'suspect',
]
