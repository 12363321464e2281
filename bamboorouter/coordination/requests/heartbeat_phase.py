"""Aligns the heartbeats of all agents to the leader's clock.

The leader's answers carry its monotonic time, and every agent sends its next
heartbeat when that time is a multiple of the period. The leader then reads the
heartbeats of all agents in a few wake-ups; a wake-up for a single heartbeat
costs more than processing the message.
"""


def wait_ms(*, period_ms: int, leader_ms: int, elapsed_ms: int) -> int:
    """Returns the time in ms until an agent's next heartbeat.

    Args:
        period_ms: Heartbeat period in ms.
        leader_ms: The leader's monotonic time in ms when it answered the last
            heartbeat.
        elapsed_ms: Time in ms since that answer arrived.

    Returns:
        Time to the next multiple of the period on the leader's clock that is
        at least half a period away, so that a heartbeat that was sent early
        because of a change isn't followed by another one at once.
    """
    wait = -(leader_ms + elapsed_ms) % period_ms
    return wait if wait >= period_ms // 2 else wait + period_ms
