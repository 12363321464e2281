"""Exit codes of the command-line tool."""

from typing import Final

DONE: Final = 0
# Also used by the cleo library for unknown commands and options.
USAGE: Final = 1
REFUSED: Final = 2
NOT_REACHED: Final = 3
UNKNOWN: Final = 4
NOT_IN_FORCE: Final = 5
DAMAGED: Final = 6

HELP: Final = """\
Exit codes:
  0  done
  1  wrong usage, a file that cannot be read, or an unexpected answer
  2  refused; nothing was changed. For logs: no line mentions the IDs
  3  no entry accepted the call; nothing was changed
  4  the answer was lost; the operation may have been done. Repeat the command
     with the printed --operation-id to get the first answer
  5  --wait ended before the change was in force everywhere
  6  the account is damaged"""
