"""Entry point of `python -m carobmoor`."""

from carobmoor.cli import main

if __name__ == '__main__':
    main()
