"""Availability zones whose backend servers get no new requests."""

from carobmoor.evacuation._rows import zones_after
from carobmoor.evacuation._state import EvacuatedZones, EvacuationState

__all__ = ('EvacuatedZones', 'EvacuationState', 'zones_after')
