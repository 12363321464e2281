"""Common moments for the heartbeats of all agents.

A leader that is woken for each heartbeat alone spends more on the wake-up than
on the message. So its answers carry its own monotonic time, and every agent
sends its next heartbeat when that time is a multiple of the period. The leader
then reads the heartbeats of all agents in a few wake-ups.
"""


def wait_ms(*, period_ms: int, leader_ms: int, elapsed_ms: int) -> int:
    """Returns how long an agent waits for its next heartbeat.

    Args:
        period_ms: Period of the heartbeats.
        leader_ms: The leader's monotonic time when it answered the last one.
        elapsed_ms: Time since that answer arrived.

    Returns:
        Time to the next common moment that is at least half a period away,
        so that a heartbeat sent early for a change isn't followed at once.
    """
    wait = -(leader_ms + elapsed_ms) % period_ms
    return wait if wait >= period_ms // 2 else wait + period_ms
