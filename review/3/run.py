"""A lasting submission is given up although none of its tasks has failed.

See `claim.txt`. Exits with 1 if the rule was broken, 0 if it held and 2 if the
case couldn't run.
"""

import asyncio
import pathlib
import sys

from review.standins import case
from review.standins import record
from review.standins import site

# One worker at a time is a share of 0.125. The largest dose of `srv_crash` in
# the site file is a share of 0.14 for 4.5 s.
WORKERS = 8
DOWN_S = 1.0
PAUSE_S = 1.0
CRASHES = 40
TASKS = 12
PREFIX = "/lohu930/"
JOB = "5c0e7a21d94b36f8"
PROBE = "00000000000000aa"
RUN_MS = 600_000


async def play(log: record.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    deployment = site.Site(log=log, services=["huvo11a"] * WORKERS)
    try:
        await deployment.start()
        await deployment.configure(
            site.configuration(site.route("r-wrr6x73", "huvo11a", PREFIX))
        )
        await deployment.probe(PREFIX + PROBE)
        return await _submit_and_crash(deployment, log, trouble)
    finally:
        await deployment.close()


async def _submit_and_crash(
    deployment: site.Site, log: record.Record, trouble: bool
) -> bool:
    """Lets the workers crash in turn, one at a time."""
    body = site.submission(RUN_MS)
    body["phases"][0] |= {"count": TASKS, "longRunning": True}
    status, _ = await deployment.call(
        "POST", deployment.frontend(1), PREFIX + JOB, body=body
    )
    if status != 200:
        raise site.CannotRunError(f"the submission was answered {status}")
    await asyncio.sleep(site.CONTACT_S)
    for number in range(CRASHES):
        if trouble:
            await deployment.workers[number % WORKERS].crash(DOWN_S)
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(PAUSE_S)
        status, answer = await deployment.call(
            "GET", deployment.frontend(1), PREFIX + JOB
        )
        if status == 200 and answer["state"] == "failed":
            break
    # Tasks that last are to run again within 6 s.
    await asyncio.sleep(8.0)
    status, answer = await deployment.call(
        "GET", deployment.frontend(1), PREFIX + JOB
    )
    if status != 200:
        raise site.CannotRunError(f"the state was answered {status}")
    ends = [
        run.how
        for stand_in in deployment.workers
        for (task, _), run in stand_in.runs.items()
        if task.startswith(JOB)
    ]
    log.write(
        f"the state is {answer['state']};"
        f" {ends.count('failed')} of {len(ends)} runs have ended failed,"
        f" {ends.count('')} are at work"
    )
    broken = answer["state"] == "failed" and "failed" not in ends
    log.write(f"LOST is {'broken' if broken else 'kept'}")
    return broken


if __name__ == "__main__":
    sys.exit(case.run(play, pathlib.Path(__file__).resolve().parent))
