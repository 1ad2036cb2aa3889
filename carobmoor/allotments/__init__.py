"""Allotments of teams, over all nodes of a deployment together.

Each team has a keeper in each region, which grants starts out of the region's
part of the allotment and exchanges unused starts with the keepers of other
regions. The decisions are plain functions of a state and a time that is passed
in; `docs/design/allotments.md` tells what holds when nodes or links fail.
"""

from carobmoor.allotments._allotments import Allotments, Refusal
from carobmoor.allotments._contact import heard_nodes
from carobmoor.allotments._messages import (
    AllotmentBounds,
    Ask,
    Grant,
    Message,
    TeamLimit,
    limit_of,
)
from carobmoor.allotments._places import NodeView

__all__ = [
    'AllotmentBounds',
    'Allotments',
    'Ask',
    'Grant',
    'Message',
    'NodeView',
    'Refusal',
    'TeamLimit',
    'heard_nodes',
    'limit_of',
]
