"""Which nodes there are, told from node to node without a list.

The decisions are plain functions over `MembershipState`; `Gossip` is the
task that exchanges news with other nodes.
"""

from carobmoor.membership._gossip import Gossip
from carobmoor.membership._merge import (
    confirm_dead,
    declare_self,
    merge,
    suspect,
)
from carobmoor.membership._messages import Member, Standing, decode_members
from carobmoor.membership._seeds import announce, read_seeds
from carobmoor.membership._state import MembershipState

__all__ = [
    'Gossip',
    'Member',
    'MembershipState',
    'Standing',
    'announce',
    'confirm_dead',
    'declare_self',
    'decode_members',
    'merge',
    'read_seeds',
    'suspect',
]
