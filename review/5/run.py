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
from review.standins import worker

# One worker of 8 is a share of 0.125; the largest dose of `srv_crash` in the
# site file is a share of 0.14.
WORKERS = 8
# Each worker has 16 cores, so that 6 tasks of this size fit.
WORKER_MILLICORES = 16_000
TASK_MILLICORES = 2600
SUBMISSIONS = 6
RUN_MS = 100_000
START_LIMIT_S = 10.0
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


async def _submit(
    deployment: site.Site, names: list[str], millicores: int
) -> None:
    """Hands submissions in at once.

    Raises:
        CannotRunError: Not all were accepted.
    """
    body = site.submission(RUN_MS)
    body["phases"][0]["cpu"] = millicores
    answers = await asyncio.gather(
        *(
            deployment.call(
                "POST",
                deployment.frontend(1 + number % site.FRONTENDS),
                PREFIX + name,
                body=body,
            )
            for number, name in enumerate(names)
        )
    )
    refused = [status for status, _ in answers if status != 200]
    if refused:
        raise site.CannotRunError(f"submissions were answered {refused}")


async def _fill_all_but_one(
    deployment: site.Site, log: record.Record
) -> worker.Worker:
    """Fills all workers and empties one of them; returns that one.

    Raises:
        CannotRunError: The workers weren't filled in time.
    """
    fillers = [f"{number:016x}" for number in range(500, 500 + WORKERS)]
    await _submit(deployment, fillers, WORKER_MILLICORES)
    end_s = time.monotonic() + START_LIMIT_S
    while not all(w.at_work() for w in deployment.workers):
        if time.monotonic() > end_s:
            raise site.CannotRunError("the workers weren't filled")
        await asyncio.sleep(0.1)
    emptied = deployment.workers[-1]
    (task,) = emptied.at_work()
    await deployment.call(
        "DELETE", deployment.frontend(1), PREFIX + task.partition(".")[0]
    )
    await asyncio.sleep(site.CONTACT_S)
    if emptied.at_work():
        raise site.CannotRunError("the worker wasn't emptied")
    log.write(f"all workers but {emptied.name} are full, which is empty")
    return emptied


async def _submit_and_count(
    deployment: site.Site, log: record.Record, trouble: bool
) -> bool:
    emptied = await _fill_all_but_one(deployment, log)
    if trouble:
        await emptied.close()
        log.write(f"worker {emptied.name} is lost for good")
    accepted = [f"{number:016x}" for number in range(1000, 1000 + SUBMISSIONS)]
    await _submit(deployment, accepted, TASK_MILLICORES)
    accepted_s = time.monotonic()
    broken = False
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
    # The argument is the path of the case's record.txt.
    sys.exit(case.run(play, pathlib.Path(sys.argv[1])))
