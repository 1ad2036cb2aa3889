#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# -B leaves no __pycache__ behind.
cd "$(dirname "$0")" && exec python3 -B case.py
