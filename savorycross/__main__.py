"""Runs the ``savorycross`` command."""

import sys

from savorycross.cli import main


def run():
    """Run the command and exit with its status."""
    sys.exit(main.main())


if __name__ == '__main__':
    run()
