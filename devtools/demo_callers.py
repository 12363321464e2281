"""HTTP client of the demo: steady load, resends and bursts of requests.

Each request has a unique body, which the simulated worker echoes. This detects
an answer that belongs to another request.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import time
from typing import Final
import uuid

import aiohttp

from devtools import journal

OUTCOME_HEADER: Final = "Bamboorouter-Outcome"
CODE_HEADER: Final = "Bamboorouter-Code"
REQUEST_ID_HEADER: Final = "Bamboorouter-Request-Id"
TIMEOUT_S: Final = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentRequest:
    """A request and its response.

    Attributes:
        body: Body of the request.
        key: Idempotency key; empty if there was none.
        status: HTTP status; 0 if there was no response.
        outcome: Outcome reported by the entry; "none" if there was no response.
        code: Code of a refusal or failure; empty otherwise.
        request_id: Request ID assigned by the entry.
        answer: Body of the response.
        took_ms: Time until the response was complete, in ms.
    """

    body: bytes
    key: str
    status: int = 0
    outcome: str = "none"
    code: str = ""
    request_id: str = ""
    answer: bytes = b""
    took_ms: float = 0.0

    @property
    def answer_matches(self) -> bool:
        """Whether the answer is the echo of the body; True if not completed."""
        return self.outcome != "completed" or self.answer == self.body


class Callers:
    """Sends requests to the entries of a site round-robin.

    Attributes:
        entries: Addresses of the entries.
        session: HTTP session.
        random: Random generator for idempotency keys, with a fixed seed.
    """

    def __init__(
        self, *, entries: tuple[str, ...], session: aiohttp.ClientSession
    ) -> None:
        self.entries = entries
        self.session = session
        self.random = random.Random(1)
        self._numbers = itertools.count(1)

    def new_key(self) -> str:
        """Returns a new UUID version 7."""
        wall_ms = time.time_ns() // 1_000_000
        bits = wall_ms << 80 | 0x7 << 76 | self.random.getrandbits(12) << 64
        bits |= 0b10 << 62 | self.random.getrandbits(62)
        return str(uuid.UUID(int=bits))

    async def send(
        self, service: str, *, key: str = "", query: str = "", body: bytes = b""
    ) -> SentRequest:
        """Sends a request and reads the response."""
        number = next(self._numbers)
        entry = self.entries[number % len(self.entries)]
        body = body or b"request %d" % number
        url = f"http://{entry}/{service}/echo{query}"
        headers = {}
        if key:
            headers = {"Idempotency-Key": key, journal.KEY_HEADER: key}
        started = time.monotonic()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self.session.post(
                    url, data=body, headers=headers
                ) as response:
                    answer = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return SentRequest(body=body, key=key)
        return SentRequest(
            body=body,
            key=key,
            status=response.status,
            outcome=response.headers.get(OUTCOME_HEADER, "none"),
            code=response.headers.get(CODE_HEADER, ""),
            request_id=response.headers.get(REQUEST_ID_HEADER, ""),
            answer=answer,
            took_ms=(time.monotonic() - started) * 1000,
        )

    async def wait_until_served(self, service: str, limit_s: float) -> bool:
        """Sends requests to a service until one succeeds or time is up.

        Returns:
            Whether a request succeeded.
        """
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if (await self.send(service, key=self.new_key())).status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def steady(
        self, service: str, *, keyed: bool, callers: int, seconds: float
    ) -> list[SentRequest]:
        """Sends requests from concurrent callers, each sequentially."""
        end = time.monotonic() + seconds

        async def one_caller() -> list[SentRequest]:
            sent = []
            while time.monotonic() < end:
                key = self.new_key() if keyed else ""
                sent.append(await self.send(service, key=key))
                await asyncio.sleep(0.02)
            return sent

        groups = await asyncio.gather(*(one_caller() for _ in range(callers)))
        return list(itertools.chain.from_iterable(groups))

    async def resend(
        self, service: str, sent: list[SentRequest]
    ) -> list[SentRequest]:
        """Sends requests again with their idempotency keys."""
        return list(
            await asyncio.gather(
                *(
                    self.send(service, key=each.key, body=each.body)
                    for each in sent
                )
            )
        )

    async def burst(
        self, service: str, count: int, time_ms: int
    ) -> list[SentRequest]:
        """Sends many slow requests concurrently."""
        query = f"?time_ms={time_ms}"
        return list(
            await asyncio.gather(
                *(self.send(service, query=query) for _ in range(count))
            )
        )


def quantile_ms(sent: list[SentRequest], fraction: float) -> float:
    """Returns a quantile of the latencies; infinite without requests."""
    times = sorted(each.took_ms for each in sent)
    if not times:
        return float("inf")
    return times[min(len(times) - 1, int(len(times) * fraction))]


def outcomes_text(sent: list[SentRequest]) -> str:
    """Returns the number of requests by outcome, as text."""
    counts = collections.Counter(
        f"{each.outcome} ({each.code})" if each.code else each.outcome
        for each in sent
    )
    return ", ".join(f"{count} {name}" for name, count in counts.most_common())
