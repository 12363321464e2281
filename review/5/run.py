"""The number of pending submissions leaves out those that lost their worker.

See `claim.txt`. Exits with 1 if the rule was broken, 0 if it held and 2 if the
case couldn't run.
"""

import asyncio
import pathlib
import sys
import time

from review.standins import case
from review.standins import record
from review.standins import site

# One worker of 8 is a share of 0.125; the largest dose of `srv_crash` in the
# site file is a share of 0.14.
WORKERS = 8
# Each worker has 16 cores, so that 8 tasks of this size fit.
TASK_MILLICORES = 2000
# Two more than fit on all workers.
SUBMISSIONS = 66
RUN_MS = 60_000
# `visible_ms` of the installation and 2 s, in s.
VISIBLE_S = 5.0
READINGS = 5
PREFIX = "/lohu930/"
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
        return await _submit_and_count(deployment, log, trouble)
    finally:
        await deployment.close()


async def _submit_and_count(
    deployment: site.Site, log: record.Record, trouble: bool
) -> bool:
    if trouble:
        await deployment.workers[-1].close()
        log.write(f"worker {deployment.workers[-1].name} is lost for good")
    body = site.submission(RUN_MS)
    body["phases"][0]["cpu"] = TASK_MILLICORES
    ids = [f"{number:016x}" for number in range(1000, 1000 + SUBMISSIONS)]
    answers = await asyncio.gather(
        *(
            deployment.call(
                "POST",
                deployment.frontend(1 + number % site.FRONTENDS),
                PREFIX + name,
                body=body,
            )
            for number, name in enumerate(ids)
        )
    )
    accepted = [
        name
        for name, (status, _) in zip(ids, answers, strict=True)
        if status == 200
    ]
    if len(accepted) < SUBMISSIONS:
        raise site.CannotRunError(f"{len(accepted)} were accepted")
    accepted_s = time.monotonic()
    broken = False
    # The readings are to see the last disturbance at `contactMs` before.
    await asyncio.sleep(VISIBLE_S)
    for number in range(READINGS):
        await asyncio.sleep(1.0)
        status, answer = await deployment.call(
            "GET", deployment.frontend(1 + number % site.FRONTENDS), PREFIX
        )
        begun = {
            task.partition(".")[0]
            for stand_in in deployment.workers
            for task, _ in stand_in.runs
        }
        waiting = [name for name in accepted if name not in begun]
        if status != 200:
            raise site.CannotRunError(f"the count was answered {status}")
        log.write(
            f"{time.monotonic() - accepted_s:.1f} s after the last"
            f" confirmation {len(waiting)} haven't begun;"
            f" pending is {answer['pending']}"
        )
        broken = broken or answer["pending"] < len(waiting) / 2
    log.write(f"MIXED is {'broken' if broken else 'kept'}")
    return broken


if __name__ == "__main__":
    sys.exit(case.run(play, pathlib.Path(__file__).resolve().parent))
