"""Which nodes are in the cluster, spread by gossip without a central list.

The decisions are plain functions over `MembershipState`; `Gossip` is the
task that owns the socket and exchanges updates with other nodes.
"""

from carobmoor.membership._gossip import Gossip
from carobmoor.membership._merge import declare_self, merge, suspect
from carobmoor.membership._messages import (
    Member,
    Standing,
    Zone,
    decode_members,
)
from carobmoor.membership._rendezvous import is_chosen
from carobmoor.membership._seeds import join, keep_seeds
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
    'MembershipState',
    'PeerClient',
    'Standing',
    'TrafficCounts',
    'Zone',
    'answer_digests',
    'answer_helpers',
    'answer_members',
    'declare_self',
    'decode_members',
    'is_chosen',
    'is_signed',
    'join',
    'keep_seeds',
    'merge',
    'sign',
    'suspect',
]
