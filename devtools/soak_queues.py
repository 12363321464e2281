"""Queues of the soak test whose names don't identify them.

Two queues have a service each, and every other worker belongs to the second
service. Each version of the configuration names the queues at random: alike,
each by a name of its own, or with exchanged names. It lists them in a random
order and may contain a third queue, to which nothing is submitted.
"""

import dataclasses
import random
from typing import Any
from typing import Final

HOST: Final = "desk.example"
NAMES: Final = ("r-forms", "r-reels")
EXTRA_PROBABILITY: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """A queue that callers use.

    Attributes:
        prefix: Its path prefix.
        service: Service whose workers run its jobs.
    """

    prefix: str
    service: str


FORMS: Final = Queue(prefix="/forms/", service="desk")
REELS: Final = Queue(prefix="/reels/", service="reel-desk")
QUEUES: Final = (FORMS, REELS)
_EXTRA: Final = Queue(prefix="/extra/", service=REELS.service)


def queue_of(job: str) -> Queue:
    """Returns the queue to which a job is submitted, by its hexadecimal ID."""
    return QUEUES[int(job, base=16) % len(QUEUES)]


def other_queue(job: str) -> Queue:
    """Returns the queue to which a job isn't submitted."""
    return next(queue for queue in QUEUES if queue != queue_of(job))


def service_of_job(job: str) -> str:
    """Returns the service whose workers run a job."""
    return queue_of(job).service


def service_of_worker(number: int) -> str:
    """Returns the service of a worker; workers are numbered from 1."""
    return QUEUES[(number - 1) % len(QUEUES)].service


def routes(seed: int, version: int, settings: dict[str, Any]) -> list[Any]:
    """Returns the routes of the queues in a version of the configuration.

    Args:
        seed: Seed of the soak.
        version: Version of the configuration, which always has the same routes.
        settings: Fields of all routes.
    """
    rng = random.Random(f"names {seed} {version}")
    queues = [*QUEUES, *[_EXTRA] * (rng.random() < EXTRA_PROBABILITY)]
    rng.shuffle(queues)
    return [
        {
            **settings,
            "name": rng.choice(NAMES),
            "host": HOST,
            "pathPrefix": queue.prefix,
            "service": queue.service,
        }
        for queue in queues
    ]


def services() -> list[dict[str, Any]]:
    """Returns the services of all queues in a configuration."""
    return [
        {"name": queue.service, "enforcesCapacity": False} for queue in QUEUES
    ]
