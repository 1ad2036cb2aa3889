"""A lightweight node beside each backend server, for deployments with routes.

Callers on an instance send their requests to the node on that instance. It
matches the route, chooses the backend server that is likely to finish first
from load data that is milliseconds old, and sends the request to the node
beside that server, which decides whether to run it.
"""

from carobmoor.mesh._daemon import run_mesh_node, start_mesh_node
from carobmoor.mesh._leave import leave_mesh_node
from carobmoor.mesh._messages import (
    Announcement,
    HeaderNames,
    InstanceLimits,
    MeshBounds,
    MeshSettings,
    ServerStatus,
)
from carobmoor.mesh._parts import MeshParts
from carobmoor.mesh._route_follower import RouteSource
from carobmoor.mesh._state import MeshNode

__all__ = [
    'Announcement',
    'HeaderNames',
    'InstanceLimits',
    'MeshBounds',
    'MeshNode',
    'MeshParts',
    'MeshSettings',
    'RouteSource',
    'ServerStatus',
    'leave_mesh_node',
    'run_mesh_node',
    'start_mesh_node',
]
