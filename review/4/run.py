"""A submission runs although its only answer was that there is no such queue.

See `claim.txt`. Exits with 1 if the rule was broken, 0 if it held and 2 if the
case couldn't run.
"""

import asyncio
import pathlib
import sys

from review.standins import case
from review.standins import record
from review.standins import site

KEPT = "/pule252/"
REMOVED = "/lohu930/"
PROBE = "00000000000000aa"
JOB = "5c0e7a21d94b36f8"
RUN_MS = 2000
SETTLE_S = 0.2
CUT_S = 1.8
WATCH_S = 8.0


async def play(log: record.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    deployment = site.Site(log=log, services=["huvo11a"] * 3, proxied=True)
    try:
        await deployment.start()
        kept = site.route("r-73hh2b9", "huvo11a", KEPT)
        removed = site.route("r-wrr6x73", "huvo11a", REMOVED)
        await deployment.configure(site.configuration(kept, removed))
        await deployment.probe(REMOVED + PROBE)
        later = {**site.configuration(kept), "version": 8}
        return await _submit_and_remove(deployment, log, later, trouble)
    finally:
        await deployment.close()


async def _submit_and_remove(
    deployment: site.Site,
    log: record.Record,
    later: dict[str, object],
    trouble: bool,
) -> bool:
    """Removes the route while the confirmation is on its way."""
    leader = deployment.leader()
    followers = [n for n in range(1, site.DISKS + 1) if n != leader]
    cut = followers[0]
    if trouble:
        deployment.cut_one_way(cut)
    submission = asyncio.create_task(
        deployment.call(
            "POST",
            deployment.frontend(cut),
            REMOVED + JOB,
            body=site.submission(RUN_MS),
        )
    )
    await asyncio.sleep(SETTLE_S)
    await deployment.configure(later, numbers=[leader])
    if trouble:
        await asyncio.sleep(CUT_S - SETTLE_S)
        deployment.heal()
    status, _ = await submission
    await asyncio.sleep(WATCH_S)
    started = any(
        task.startswith(JOB)
        for stand_in in deployment.workers
        for task, _ in stand_in.runs
    )
    log.write(f"the only attempt was answered {status}; started: {started}")
    broken = status in (404, 429, 503) and started
    log.write(f"REFUSED is {'broken' if broken else 'kept'}")
    return broken


if __name__ == "__main__":
    # The argument is the path of the case's record.txt.
    sys.exit(case.run(play, pathlib.Path(sys.argv[1])))
