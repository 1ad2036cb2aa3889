"""Runs the bench as `python -m bench [NAME]`."""

import sys
from types import MappingProxyType

import fire

from bench.admission import measure_admission
from bench.floods import measure_floods
from bench.hop import measure_hop
from bench.quarantine import measure_quarantine

_BENCHES = MappingProxyType(
    {
        'admission': measure_admission,
        'floods': measure_floods,
        'hop': measure_hop,
        'quarantine': measure_quarantine,
    }
)


def main() -> None:
    """Run one bench by name, or all of them."""
    if len(sys.argv) > 1:
        fire.Fire(dict(_BENCHES), name='bench')
        return
    for name, bench in _BENCHES.items():
        sys.stdout.write(f'== {name}\n')
        bench()


if __name__ == '__main__':
    main()
