"""Runs the command line as `python -m carobmoor`."""

from carobmoor.cli import main

if __name__ == '__main__':
    main()
