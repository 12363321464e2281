"""Trial: control machines are replaced one by one; no case of the review.

Usage: replace_in_turn.py REPLICAS oldest|SEED. Each machine is gone for good
5.1 s after the one before; its successor starts 1 s later. The settings of all
processes name three of the present machines.
"""

import asyncio
import json
import pathlib
import random
import re
import sys
import tempfile
import time

import loopback_site

GAP_S = 5.1
SUCCESSOR_AFTER_S = 1.0
ROUNDS = 8
WAIT_S = 20.0
ROUTE = loopback_site.route("r", "/q/")


async def play(site: loopback_site.Site, replicas: int, order: str) -> bool:
    """Returns whether a configuration is acknowledged at the end."""
    await site.ready(loopback_site.configuration(1, ROUTE))
    await asyncio.sleep(3)
    alive = list(range(1, replicas + 1))
    rng = random.Random(order)
    for number in range(replicas + 1, replicas + 1 + ROUNDS):
        began = time.monotonic()
        lost = alive[0] if order == "oldest" else rng.choice(alive)
        site.processes[f"control-{lost}"].end()
        site.record.add(f"control-{lost} is gone for good")
        alive.remove(lost)
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        successor = site.add_control(number, bootstrap=False)
        alive.append(number)
        name_seeds(site, alive)
        successor.start()
        await asyncio.sleep(GAP_S - (time.monotonic() - began))
    deadline = time.monotonic() + WAIT_S
    document = loopback_site.configuration(2, ROUTE)
    while time.monotonic() < deadline:
        for number in alive:
            if await site.offer(document, control=number) == 200:
                return True
        await asyncio.sleep(0.2)
    return False


def name_seeds(site: loopback_site.Site, alive: list[int]) -> None:
    """Rewrites the seeds in the settings of all processes."""
    port = loopback_site.CONTROL_PORT
    seeds = [f"{site.network}.1.{number}:{port}" for number in alive[:3]]
    for process in site.processes.values():
        text = process.settings.read_text(encoding="utf-8")
        line = f"seeds = {json.dumps(seeds)}"
        text = re.sub(r"^seeds = .*", line, text, flags=re.MULTILINE)
        process.settings.write_text(text, encoding="utf-8")


def main() -> int:
    """Plays the trial; the record goes into a temporary folder."""
    replicas, order = int(sys.argv[1]), sys.argv[2]
    site = loopback_site.Site(
        record=pathlib.Path(tempfile.mkdtemp()) / "record.txt",
        workers=1,
        entries=1,
        controls=replicas,
    )
    print(site.folder)
    return loopback_site.run_case(
        site, lambda site: play(site, replicas, order)
    )


if __name__ == "__main__":
    sys.exit(main())
