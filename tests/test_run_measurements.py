"""Guards against blaming best-effort images for the load of the users.

The load of a serving step rises and falls within seconds. If a best-effort task
starts while it rises and ends while it falls, latencies rise and fall with the
task although it doesn't interfere.
"""

import math
import unittest

from bamboorouter.coordination.jobs import run_measurements
from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from tests import job_builders as make

TARGET_MS = 100
LOAD_PERIOD_MS = 10_000
SERVING = make.step(2, image="desk", target_ms=TARGET_MS, lasting=True)
WORKERS = ("w1", "w2")
# A tenth of a worker is one load unit.
ROOM = common.Resources(millicores=16_000, memory_mb=64_000)
UNIT_MILLICORES = 1600


def own_utilization(now: int) -> float:
    """Returns the utilization of all tasks of the step without interference."""
    return 0.42 + 0.21 * math.sin(2 * math.pi * now / LOAD_PERIOD_MS)


def latency_ms(utilization: float) -> int:
    """Inverse of `image_interference.utilization`."""
    base_ms = TARGET_MS * image_interference.BASE_LATENCY_SHARE
    return round(base_ms / (1 - utilization))


class SwingingLoadTest(unittest.TestCase):
    """Replays a serving step whose users' load swings by a half."""

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.jobs.accept("desk", SERVING)
        for image in ("light", "heavy"):
            self.jobs.accept(image, make.step(fills=True, image=image))
        self.learned = image_interference.ImageInterference()
        self.measurements = run_measurements.RunMeasurements(
            interference=self.learned
        )

    def report(
        self, worker: str, now: int, loads: dict[str, float], added: float
    ) -> None:
        index = WORKERS.index(worker)
        serving = job_messages.HeldRun(
            task=make.ref("desk", index=index),
            attempt=1,
            running=True,
            progress=100,
            figure=latency_ms(own_utilization(now) + added),
        )
        best_effort = [
            job_messages.HeldRun(
                task=make.ref(image),
                attempt=1,
                running=True,
                figure=int(units * UNIT_MILLICORES),
            )
            for image, units in loads.items()
        ]
        report = job_messages.WorkerReport(
            worker=worker,
            life=f"{worker}@1",
            session=index,
            sequence=now,
            service="desk",
            zone="z1",
            labels=(),
            rack="r1",
            room=ROOM,
            draining=False,
            reachable=True,
            runs=(serving, *best_effort),
            ends=(),
        )
        self.measurements.update(report, self.jobs.state, now)

    def play(self, image: str, added_per_unit: float) -> None:
        """Runs an image beside one task while the users' load is high."""
        mean = own_utilization(0)
        for now in range(0, 3 * LOAD_PERIOD_MS, 500):
            loads = {image: 1.0} if own_utilization(now) > mean else {}
            self.report("w1", now, loads, added_per_unit * len(loads))
            self.report("w2", now, {}, 0.0)

    def test_harmless_image_is_not_blamed_for_the_users_load(self) -> None:
        self.play("light", 0.0)
        self.assertLess(
            self.learned.weight("desk", "light"),
            image_interference.HARMLESS_WEIGHT,
        )

    def test_harmful_image_is_recognized(self) -> None:
        self.play("heavy", 0.2)
        self.assertAlmostEqual(
            self.learned.weight("desk", "heavy"), 0.2, delta=0.03
        )

    def test_previous_sample_is_the_reference_without_siblings(self) -> None:
        self.play("light", 0.0)
        self.measurements.reset()
        self.report("w1", 60_000, {}, 0.0)
        self.report("w1", 61_000, {"heavy": 1.0}, 0.3)
        self.assertGreater(
            self.learned.weight("desk", "heavy"),
            image_interference.INITIAL_WEIGHT,
        )


if __name__ == "__main__":
    unittest.main()
