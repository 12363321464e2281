"""Entry point of bamboorouterd."""

import argparse
import asyncio
import sys

from absl import flags
from absl import logging

from bamboorouter import daemon
from bamboorouter import errors
from bamboorouter import options


def main() -> int:
    """Reads the settings and runs the daemon; returns the exit status."""
    parser = argparse.ArgumentParser(prog="bamboorouterd")
    parser.add_argument("settings", help="path of the TOML settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    args = parser.parse_args()
    # The daemon uses no absl flags; absl warns unless they are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    try:
        settings = options.load_options(args.settings)
    except errors.OptionsError as err:
        print(f"bamboorouterd: {err}", file=sys.stderr)
        return 2
    if args.check:
        return 0
    logging.set_verbosity(settings.process.log_level)
    logging.set_stderrthreshold("debug")
    asyncio.run(daemon.Daemon(settings=settings).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
