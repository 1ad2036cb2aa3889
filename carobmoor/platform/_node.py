"""Start of a node on the platform: loads settings and wires up its parts."""

import asyncio
import functools
import os
import sys

from result import Err

from carobmoor.mesh import MeshNode, MeshParts, RouteSource, run_mesh_node
from carobmoor.platform._discovery import decode_announcement
from carobmoor.platform._document import decode_document
from carobmoor.platform._names import (
    CONFIG_KEY,
    DEFAULT_SETTINGS_PATH,
    EVACUATION_PREFIX,
    HEADERS,
    OPERATOR_TABLE,
    SETTINGS_VARIABLE,
)
from carobmoor.platform._settings import load_settings
from carobmoor.platform._store import StoreClient
from carobmoor.telemetry import configure_bounded_logs
from carobmoor.transport import ConnectionPool


def main() -> int:
    """Run a node until it is stopped and return the exit code.

    The code is 2 if the settings can't be loaded.
    """
    return asyncio.run(_run())


async def _run() -> int:
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return 2
    drop_counters = configure_bounded_logs('info')
    settings = loaded.ok_value
    store = StoreClient(ConnectionPool(), settings.store_address)
    source = RouteSource(
        OPERATOR_TABLE, CONFIG_KEY, decode_document, EVACUATION_PREFIX
    )
    node = MeshNode(settings, HEADERS)
    parts = MeshParts(node, store, source, decode_announcement)
    node.metrics.store_calls.set_function(lambda: store.calls)
    node.metrics.store_down.set_function(lambda: store.is_down)
    node.metrics.dropped_lines.set_function(lambda: drop_counters.total)
    await run_mesh_node(parts, functools.partial(load_settings, path))
    return 0
