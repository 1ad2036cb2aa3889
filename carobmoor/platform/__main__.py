"""Entry point with which the platform starts a node.

Run it as `python -m carobmoor.platform`. Until the node installs its reload
handler, SIGHUP would end the process. It is therefore ignored before the
imports, which take most of the start-up time.
"""

import signal
import sys
from importlib import import_module

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(import_module('carobmoor.platform._node').main())
