"""Proposes job commands to the replicated log."""

from typing import Final

from bamboorouter.coordination.log import replicated_log
from bamboorouter.protocol import commands

# Below the 800 ms after which `ControlClient` retries on another replica.
TIMEOUT_MS: Final = 700


async def propose(
    log: replicated_log.ReplicatedLog, command: commands.Command
) -> commands.Result:
    """Commits a command and returns the result of applying it.

    Raises:
        NotLeaderError: Nothing was proposed.
        UnknownResultError: The command was proposed, but may not be committed.
    """
    return await log.propose(command, timeout_ms=TIMEOUT_MS)
