"""The node: the process beside a backend server that takes its requests.

All requests to the backend server pass through its node.
"""

from carobmoor.node._lifecycle import run_node
from carobmoor.node._settings import (
    Settings,
    load_settings,
    settings_schema,
    validate_settings,
)

__all__ = [
    'Settings',
    'load_settings',
    'run_node',
    'settings_schema',
    'validate_settings',
]
