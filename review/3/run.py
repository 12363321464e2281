"""A submission runs although its cancelling was acknowledged.

See `claim.txt`. Exits with 1 if the rule was broken, 0 if it held and 2 if the
case couldn't run.
"""

import asyncio
import pathlib
import signal
import sys
import time

from review.standins import case
from review.standins import record
from review.standins import site

# With 4 frontend machines, one machine is a share of 0.1. The largest dose of
# `node_freeze` in the site file is a share of 0.11 for 3.5 s.
WORKERS = 6
FREEZE_S = 3.5
DEADLINE_MS = 3000
RUN_MS = 60_000
# `cancel_ms` and `stopMs` of the installation, in s.
CANCEL_S = 3.0
STOP_S = 0.9
WATCH_S = 12.0
PREFIX = "/lohu930/"
JOB = "5c0e7a21d94b36f8"
PROBE = "00000000000000aa"


async def play(log: record.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    deployment = site.Site(log=log, services=["huvo11a"] * WORKERS)
    try:
        await deployment.start()
        await deployment.configure(
            site.configuration(site.route("r-wrr6x73", "huvo11a", PREFIX))
        )
        await deployment.probe(PREFIX + PROBE)
        return await _submit_and_cancel(deployment, log, trouble)
    finally:
        await deployment.close()


async def _submit_and_cancel(
    deployment: site.Site, log: record.Record, trouble: bool
) -> bool:
    frozen = site.FRONTENDS
    frozen_s = time.monotonic()
    if trouble:
        deployment.send_signal(frozen, signal.SIGSTOP)
    status, _ = await deployment.call(
        "POST",
        deployment.frontend(frozen),
        PREFIX + JOB,
        body=site.submission(RUN_MS),
        deadline_ms=DEADLINE_MS,
    )
    if bool(status) == trouble:
        raise site.CannotRunError(f"the submission was answered {status}")
    # The requester withdraws what it got no answer for, at another machine.
    status, _ = await deployment.call(
        "DELETE", deployment.frontend(1), PREFIX + JOB
    )
    acknowledged_s = time.monotonic()
    if status not in (200, 410):
        raise site.CannotRunError(f"the cancelling was answered {status}")
    log.write(f"the cancelling is acknowledged with {status}")
    if trouble:
        await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
        deployment.send_signal(frozen, signal.SIGCONT)
    calm_s = time.monotonic() + site.CONTACT_S
    await asyncio.sleep(WATCH_S)
    await deployment.call("GET", deployment.frontend(1), PREFIX + JOB)
    limit_s = max(acknowledged_s + CANCEL_S + STOP_S, calm_s)
    broken = False
    for stand_in in deployment.workers:
        for (task, attempt), run in stand_in.runs.items():
            until_s = run.ended_s or time.monotonic()
            if task.startswith(JOB) and until_s > limit_s:
                broken = True
                log.write(
                    f"{task} run {attempt} works on"
                    f" {until_s - acknowledged_s:.1f} s after the"
                    f" acknowledgement, on {stand_in.name}; it started"
                    f" {run.started_s - acknowledged_s:+.1f} s after it"
                )
    log.write(f"UNASKED is {'broken' if broken else 'kept'}")
    return broken


if __name__ == "__main__":
    # The argument is the path of the case's record.txt.
    sys.exit(case.run(play, pathlib.Path(sys.argv[1])))
