"""Runs a node as the platform starts it: `python -m carobmoor.platform`.

A signal to reload that comes before the node heeds it would end the process,
so it is ignored first; imports take most of the time of a start.
"""

import signal
import sys
from importlib import import_module

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(import_module('carobmoor.platform._node').main())
