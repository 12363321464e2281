"""Runs the command-line tool with `python -m bamboorouter.cli`."""

import sys

from bamboorouter.cli import application

if __name__ == "__main__":
    sys.exit(application.main())
