"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides: settings, routes and announcements are decoded into the
product's own types, and the store's calls are made as they are asked for.
"""

from carobmoor.platform._discovery import read_announcement
from carobmoor.platform._document import decode_document
from carobmoor.platform._settings import load_settings, read_settings
from carobmoor.platform._store import StoreClient

__all__ = [
    'StoreClient',
    'decode_document',
    'load_settings',
    'read_announcement',
    'read_settings',
]
