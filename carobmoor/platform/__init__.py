"""Adapter to the users' platform: its names, formats and store calls.

This package holds no policy. It decodes settings, routes and announcements
into the product's own types and makes store calls on request.
"""

from importlib import import_module
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from carobmoor.platform._discovery import decode_announcement
    from carobmoor.platform._document import decode_document
    from carobmoor.platform._settings import load_settings, parse_settings
    from carobmoor.platform._store import StoreClient

__all__ = [
    'StoreClient',
    'decode_announcement',
    'decode_document',
    'load_settings',
    'parse_settings',
]

_MODULES: Final = MappingProxyType(
    {
        'StoreClient': '_store',
        'decode_document': '_document',
        'load_settings': '_settings',
        'decode_announcement': '_discovery',
        'parse_settings': '_settings',
    },
)


def __getattr__(name: str) -> Any:
    """Import a public name on first use.

    A starting node must install its signal handlers before it imports any
    large module.
    """
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(f'{__name__}.{_MODULES[name]}'), name)
