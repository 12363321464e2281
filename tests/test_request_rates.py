"""Guards against mistaking a flood of requests for batch interference."""

import unittest

from bamboorouter import clock
from bamboorouter.coordination.scheduling import request_rates
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

NORMAL_RATE_PER_S = 60
INSTANCES = 4


class RequestRatesTest(unittest.TestCase):
    """Four instances of one service, each with one heartbeat per second."""

    def setUp(self) -> None:
        self.rates = request_rates.RequestRates()
        self.answered = 0
        self.now = clock.Millis(0)

    def advance(self, seconds: int, rate_per_s: int) -> None:
        for _ in range(seconds):
            self.now = clock.Millis(self.now + 1000)
            self.answered += rate_per_s // INSTANCES
            for number in range(INSTANCES):
                self.rates.observe(self.heartbeat(number), self.now)

    def heartbeat(self, number: int) -> messages.Heartbeat:
        return messages.Heartbeat(
            agent=f"agent-{number}",
            worker=f"agent-{number}",
            incarnation=1,
            sequence=1,
            address="127.0.0.1:1",
            zone="a",
            rack="r",
            capacity=common.Resources(),
            connections=64,
            upstreams=(
                common.Upstream(
                    id=f"quick/{number}@1",
                    service="quick",
                    url="",
                    answered=self.answered,
                ),
            ),
        )

    def overloaded(self) -> bool:
        return self.rates.overloaded("quick", self.now)

    def test_flood_is_noticed_and_ends(self) -> None:
        self.advance(10, NORMAL_RATE_PER_S)
        self.assertFalse(self.overloaded())
        self.advance(3, 5 * NORMAL_RATE_PER_S)
        self.assertTrue(self.overloaded())
        self.advance(20, NORMAL_RATE_PER_S)
        self.assertFalse(self.overloaded())

    def test_disturbed_service_is_not_flooded(self) -> None:
        self.advance(10, NORMAL_RATE_PER_S)
        self.advance(30, NORMAL_RATE_PER_S // 5)
        self.assertFalse(self.overloaded())
        self.advance(30, NORMAL_RATE_PER_S)
        self.assertFalse(self.overloaded())
