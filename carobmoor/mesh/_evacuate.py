"""Applies the evacuation of availability zones on a node."""

from carobmoor.evacuation import EvacuatedZones
from carobmoor.mesh._datagrams import Hello, Load
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code
from carobmoor.telemetry import logger_for

_log = logger_for('evacuation')


def apply_evacuation(
    node: MeshNode, reported: EvacuatedZones, source: str
) -> None:
    """Put a newer set of evacuated zones in force.

    If it adds the node's own zone, requests that wait here are refused as not
    run, so that the nodes of their callers send them elsewhere.
    """
    before = node.peers.evacuation.zones
    if not node.peers.evacuation.merge(reported):
        return
    _log.info(
        'Evacuated availability zones changed.',
        source=source,
        version=reported.version,
        zones=sorted(reported.zones),
        before=sorted(before),
    )
    if is_evacuated(node):
        node.gate.refuse_waiting(Code.EVACUATED)


def is_evacuated(node: MeshNode) -> bool:
    """Return whether the availability zone of a node is evacuated."""
    return node.settings.availability_zone in node.peers.evacuation.zones


def apply_reported(node: MeshNode, datagram: Load | Hello, source: str) -> None:
    """Apply the evacuated zones that another node reports."""
    reported = EvacuatedZones(
        datagram.evacuation_version, frozenset(datagram.evacuated_zones)
    )
    apply_evacuation(node, reported, source)
