"""The node: the process beside each backend server, the only way in."""

from carobmoor.node._daemon import run_node
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
