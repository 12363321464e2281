"""Announcements of other writers in the soak test.

An announcement that can't be read, lacks fields or contains values that no
worker has names no worker to use. The true announcements of the worker hold.
"""

import asyncio
from collections.abc import Callable
import json
import random
from typing import Any
from typing import Final
from typing import Protocol

import aiohttp

INTERVAL_S: Final = (0.1, 1.0)
# Some writers repeat an announcement, so that it may be the first one that a
# restarted agent gets.
REPETITIONS: Final = (1, 1, 40)
REPETITION_INTERVAL_S: Final = 0.05
TIMEOUT_S: Final = 1.0
DEPTH: Final = 100_000
HUGE: Final = 10**30
# More than a float can represent.
BEYOND_FLOAT: Final = 10**400

Change = Callable[[dict[str, Any], random.Random], dict[str, Any]]


class Worker(Protocol):
    """A worker whose agent gets odd announcements.

    Attributes:
        name: Name of its machine.
        agent: Address of its agent.
    """

    name: str
    agent: str

    def announcement(self) -> dict[str, Any]:
        """Returns its present announcement."""


def _set(**fields: Any) -> Change:
    return lambda body, rng: {**body, **fields}


def _set_capacity(**fields: Any) -> Change:
    return lambda body, rng: {
        **body,
        "seq": body["seq"] + 1,
        "capacity": {**body["capacity"], **fields},
    }


def _remove_fields(body: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    removed = rng.sample(("addr", "born", "seq", "state", "capacity"), 2)
    return {k: v for k, v in body.items() if k not in removed}


def _change_type(body: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    name = rng.choice(("addr", "born", "seq", "state", "capacity", "labels"))
    values: tuple[Any, ...] = (None, [], {}, "x", 0.5, "10")
    return {
        **body,
        name: rng.choice(
            [v for v in values if not isinstance(v, type(body[name]))]
        ),
    }


CHANGES: Final[dict[str, Change]] = {
    "sequence": _set(seq=HUGE),
    "sequence beyond a float": _set(seq=BEYOND_FLOAT),
    "start": _set(born=HUGE),
    "start beyond a float": _set(born=BEYOND_FLOAT),
    "earlier start": lambda body, rng: {
        **body,
        "born": body["born"] - rng.randint(1, 10**6),
        "state": "draining",
    },
    "negative start": _set(born=-HUGE),
    "capacity": _set_capacity(cpu=HUGE, memMb=HUGE),
    "capacity beyond a float": _set_capacity(cpu=BEYOND_FLOAT),
    "negative capacity": _set_capacity(cpu=-1),
    "port": lambda body, rng: {
        **body,
        "seq": body["seq"] + 1,
        "addr": body["addr"].rpartition(":")[0]
        + rng.choice((":0", ":65536", ":99999", ":+80", ": 80", ":-1", ":")),
    },
    "state": lambda body, rng: {
        **body,
        "seq": body["seq"] + 100,
        "state": rng.choice(("resting", "", "READY")),
    },
    "missing fields": _remove_fields,
    "type": _change_type,
}


def odd_body(kind: str, body: dict[str, Any], rng: random.Random) -> bytes:
    """Returns an odd announcement.

    Args:
        kind: "nesting", "bytes" or a key of `CHANGES`.
        body: Present announcement of the worker.
        rng: Random generator.
    """
    if kind == "nesting":
        value = "[" * DEPTH + "]" * DEPTH
        return json.dumps(body)[:-1].encode() + f',"extra":{value}}}'.encode()
    if kind == "bytes":
        text = json.dumps(body).encode()
        return text[: rng.randrange(len(text))] + b"\xff\x00"
    return json.dumps(CHANGES[kind](body, rng)).encode()


# Announcements that would make an agent ignore the later true ones.
HIDING_KINDS: Final = (
    "sequence",
    "sequence beyond a float",
    "start",
    "start beyond a float",
)
KINDS: Final = ("nesting", "bytes", *CHANGES)


async def send_forever(
    workers: list[Worker],
    *,
    rng: random.Random,
    record: Callable[[str, str], None],
) -> None:
    """Sends odd announcements to the agents of workers.

    Args:
        workers: The workers.
        rng: Random generator.
        record: Called with the name of the worker and the kind of the
            announcement before it is sent.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await asyncio.sleep(rng.uniform(*INTERVAL_S))
            worker, kind = rng.choice(workers), rng.choice(KINDS)
            body = odd_body(kind, worker.announcement(), rng)
            record(worker.name, kind)
            for _ in range(rng.choice(REPETITIONS)):
                await _send(session, worker, body)
                await asyncio.sleep(REPETITION_INTERVAL_S)


async def send_hiding(worker: Worker, rng: random.Random) -> None:
    """Sends an announcement that must not hide the later true ones."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    body = odd_body(rng.choice(HIDING_KINDS), worker.announcement(), rng)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await _send(session, worker, body)


async def _send(
    session: aiohttp.ClientSession, worker: Worker, body: bytes
) -> None:
    try:
        async with session.put(
            f"http://{worker.agent}/-/instances/i-{worker.name}",
            data=body,
            headers={"Content-Type": "application/json"},
        ):
            pass
    except (aiohttp.ClientError, TimeoutError):
        # The agent is unreachable or closes the connection.
        pass
