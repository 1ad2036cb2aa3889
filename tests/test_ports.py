"""Ports chosen for tests stay free until their process has bound them."""

from pathlib import Path

from carobmoor.mesh.tests.fixtures import Mesh
from stand_ins.deployment import free_port

_EPHEMERAL_PORT_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
PLACE_NUMBERS = range(1, 40)


def test_ports_are_below_ephemeral_range() -> None:
    """Ports are below the ephemeral range of outgoing connections."""
    lowest, _ = _EPHEMERAL_PORT_RANGE.read_text().split()
    mesh = Mesh()
    ports = [
        mesh.make(place).node.settings.metrics_address.port
        for place in PLACE_NUMBERS
    ]
    assert max(*ports, free_port()) < int(lowest)


def test_no_port_is_returned_twice() -> None:
    """No two listeners of a test get the same port."""
    ports = [free_port() for _ in range(2000)]
    assert len(set(ports)) == len(ports)
