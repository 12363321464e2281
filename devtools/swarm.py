"""Simulates many agents in one process, for benchmarks of the control role.

Each simulated agent has its own link to the leader and sends heartbeats like a
real one, with tasks that finish after a fixed run time. There are no workers or
upstreams; the reported load of the upstreams is random.

Like real agents, the simulated ones all send their heartbeats at multiples of
the period on the leader's clock. With `--spread` each agent uses a different
offset, to measure what the common times save.
"""

import argparse
import asyncio
import dataclasses
import json
import random
import sys
import time
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.requests import heartbeat_phase
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

ZONES: Final = 4
WORKERS_PER_RACK: Final = 3
CALL_TIMEOUT_MS: Final = 5000
CONNECTIONS: Final = 64


@dataclasses.dataclass(kw_only=True)
class SwarmTask:
    """A simulated task.

    Attributes:
        epoch: Fencing epoch.
        ends_at: Monotonic time in ms at which it finishes; None for never.
        state: Reported state.
    """

    epoch: int
    ends_at: int | None
    state: Literal["running", "finished", "evicted", "stopped"] = "running"


@dataclasses.dataclass(kw_only=True)
class Counts:
    """Totals of all simulated agents.

    Attributes:
        heartbeats: Number of heartbeats sent.
        failed_heartbeats: Number of heartbeats without a reply.
        starts: Number of started tasks.
        finished: Number of finished tasks.
    """

    heartbeats: int = 0
    failed_heartbeats: int = 0
    starts: int = 0
    finished: int = 0


class SimulatedAgent:
    """A simulated agent with its worker.

    Attributes:
        name: Name of the agent and of its worker.
        zone: Availability zone.
        rack: Rack in the zone.
        capacity: Capacity of the worker.
        run_time_ms: Run time of batch tasks, in ms.
        upstreams: Number of announced upstreams.
        counts: Totals to update.
        clock: Source of time.
        tasks: Simulated tasks by ID.
        revision: Highest configuration revision received.
    """

    def __init__(
        self,
        *,
        number: int,
        addresses: tuple[str, ...],
        capacity: common.Resources,
        run_time_ms: int,
        upstreams: int,
        counts: Counts,
        time_source: clock.Clock,
    ) -> None:
        self.name = f"swarm-{number}"
        self.zone = f"zone-{number % ZONES}"
        self.rack = f"rack-{number // WORKERS_PER_RACK}"
        self.capacity = capacity
        self.run_time_ms = run_time_ms
        self.upstreams = upstreams
        self.counts = counts
        self.clock = time_source
        self.tasks: dict[str, SwarmTask] = {}
        self.revision = 0
        self._sequence = 0
        self._incarnation = random.getrandbits(32)
        self._client = control_client.ControlClient(
            addresses=addresses,
            time=time_source,
            attempt_timeout_ms=CALL_TIMEOUT_MS,
        )

    async def send_heartbeat(self) -> int:
        """Sends a heartbeat and applies the reply.

        Returns:
            The leader's monotonic time of the reply, in ms; the local time
            without a reply.
        """
        self._finish_tasks()
        self.counts.heartbeats += 1
        try:
            reply = await self._client.call(
                self._heartbeat(), timeout_ms=CALL_TIMEOUT_MS
            )
        except errors.RouterError:
            self.counts.failed_heartbeats += 1
            return self.clock.now()
        if not isinstance(reply, messages.HeartbeatReply):
            return self.clock.now()
        self._apply(reply)
        return reply.leader_ms

    def _finish_tasks(self) -> None:
        now = self.clock.now()
        for task in self.tasks.values():
            due = task.ends_at is not None and task.ends_at <= now
            if due and task.state == "running":
                task.state = "finished"
                self.counts.finished += 1

    def _heartbeat(self) -> messages.Heartbeat:
        self._sequence += 1
        return messages.Heartbeat(
            agent=self.name,
            worker=self.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address="127.0.0.1:1",
            zone=self.zone,
            rack=self.rack,
            capacity=self.capacity,
            connections=CONNECTIONS,
            applied_revision=self.revision,
            upstreams=tuple(
                common.Upstream(
                    id=f"{self.name}-{number}",
                    service="quick",
                    url="http://127.0.0.1:1",
                    in_progress=random.randrange(8),
                    latency_ms=random.uniform(5, 50),
                )
                for number in range(self.upstreams)
            ),
            tasks=tuple(
                common.TaskState(task=name, epoch=t.epoch, state=t.state)
                for name, t in self.tasks.items()
            ),
        )

    def _apply(self, reply: messages.HeartbeatReply) -> None:
        self.revision = max(self.revision, reply.revision)
        for order in reply.orders:
            self._apply_order(order)
        for start in reply.starts:
            known = self.tasks.get(start.task)
            if known is not None and known.epoch >= start.epoch:
                continue
            self.counts.starts += 1
            ends_at = (
                self.clock.now() + self.run_time_ms
                if start.kind == "batch"
                else None
            )
            self.tasks[start.task] = SwarmTask(
                epoch=start.epoch, ends_at=ends_at
            )

    def _apply_order(self, order: messages.TaskOrder) -> None:
        task = self.tasks.get(order.task)
        if task is None or task.epoch != order.epoch:
            return
        if order.action == "forget":
            del self.tasks[order.task]
        elif order.action == "evict":
            task.state = "evicted"
        elif order.action == "stop":
            task.state = "stopped"


async def run_agent(
    agent: SimulatedAgent, *, period_ms: int, phase_ms: int | None, until: float
) -> None:
    """Sends heartbeats at intervals.

    Args:
        agent: The simulated agent.
        period_ms: Interval of the heartbeats, in ms.
        phase_ms: Delay of the first heartbeat; None to synchronize with the
            leader.
        until: Monotonic time of the end, in s.
    """
    await asyncio.sleep(clock.seconds(phase_ms or 0))
    while (started := time.monotonic()) < until:
        leader_ms = await agent.send_heartbeat()
        if phase_ms is None:
            wait_s = clock.seconds(
                heartbeat_phase.wait_ms(
                    period_ms=period_ms, leader_ms=leader_ms, elapsed_ms=0
                )
            )
        else:
            wait_s = clock.seconds(period_ms) - (time.monotonic() - started)
        await asyncio.sleep(max(0.0, wait_s))


async def run_swarm(args: argparse.Namespace) -> Counts:
    """Runs all simulated agents and returns the totals."""
    counts = Counts()
    until = time.monotonic() + args.duration_s
    agents = [
        SimulatedAgent(
            number=number,
            addresses=tuple(args.control.split(",")),
            capacity=common.Resources(
                millicores=64_000, memory_mb=250_000, slots=args.slots
            ),
            run_time_ms=args.run_time_ms,
            upstreams=args.upstreams,
            counts=counts,
            time_source=clock.SystemClock(),
        )
        for number in range(args.agents)
    ]
    spread_ms = args.period_ms / max(1, args.agents)
    await asyncio.gather(
        *(
            run_agent(
                agent,
                period_ms=args.period_ms,
                phase_ms=int(number * spread_ms) if args.spread else None,
                until=until,
            )
            for number, agent in enumerate(agents)
        )
    )
    return counts


def main() -> int:
    """Parses the command line, runs the agents and prints the totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    parser.add_argument("--agents", type=int, default=10)
    parser.add_argument("--period-ms", type=int, default=1000)
    parser.add_argument("--run-time-ms", type=int, default=1000)
    parser.add_argument("--upstreams", type=int, default=0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--duration-s", type=float, default=10)
    parser.add_argument("--spread", action="store_true")
    args = parser.parse_args()
    counts = asyncio.run(run_swarm(args))
    print(json.dumps(dataclasses.asdict(counts)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
