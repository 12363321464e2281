"""Two routes of one name: work runs on a service that its route doesn't name."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

import loopback_site  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What was sent, answered and run.
RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
WORKERS = 4
FORMS = "/forms/"
REELS = "/reels/"
REEL_SERVICE = "reel-desk"
JOB = "0000000000000003"
CONFIG_APPLY_S = 2.0


async def play(site: loopback_site.Site) -> bool:
    """Changes the configuration; checks where the work of a route runs."""
    forms = loopback_site.route("r-forms", FORMS)
    services = (loopback_site.SERVICE, REEL_SERVICE)
    await site.ready(loopback_site.configuration(1, forms, services=services))
    name = "r-forms" if TROUBLE else "r-reels"
    reels = loopback_site.route(name, REELS, service=REEL_SERVICE)
    status = await site.offer(
        loopback_site.configuration(2, forms, reels, services=services),
        control=2,
    )
    if status != 200:
        return True
    await asyncio.sleep(CONFIG_APPLY_S)
    step = {"count": 4, "cpu": 1800, "memMb": 3200, "estimateMs": 800}
    status, _ = await site.ask(
        "POST", REELS + JOB, {"spec": "reel", "phases": [step]}
    )
    if status != 200:
        return True
    state = ""
    began = time.monotonic()
    while state != "done" and time.monotonic() - began < 14:
        await asyncio.sleep(0.3)
        _, body = await site.ask("GET", REELS + JOB)
        state = (body or {}).get("state", "")
    where = sorted(
        {worker.service for worker, run in site.runs if run.job == JOB}
    )
    site.record.add(
        f"the route {REELS} names the service {REEL_SERVICE}; its tasks ran"
        f" on minions of {where}"
    )
    return loopback_site.SERVICE not in where


def make_site() -> loopback_site.Site:
    """Returns a site with two workers for each of two services."""
    site = loopback_site.Site(record=RECORD, workers=WORKERS)
    for worker in site.workers[WORKERS // 2 :]:
        worker.service = REEL_SERVICE
    return site


if __name__ == "__main__":
    sys.exit(loopback_site.run_case(make_site(), play))
