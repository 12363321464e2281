"""Many stand-in agents in one process, for measurements of the control role.

Each stand-in keeps a link of its own to the leader and sends heartbeats like
an agent does, with tasks that finish after a fixed run time. No worker and no
upstream stands behind it; the load it reports of its upstreams is random. Like
agents, the stand-ins send at the leader's common moments; spread ones keep a
phase of their own, which shows what the common moments save.
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
class StandInTask:
    """A task that a stand-in agent pretends to run.

    Attributes:
        epoch: Fencing epoch.
        ends_at: Monotonic time in ms at which it finishes.
        state: State to report.
    """

    epoch: int
    ends_at: int | None
    state: Literal["running", "finished", "evicted", "stopped"] = "running"


@dataclasses.dataclass(kw_only=True)
class Counts:
    """Totals of one swarm."""

    heartbeats: int = 0
    failed_heartbeats: int = 0
    starts: int = 0
    finished: int = 0


class StandInAgent:
    """One agent of the swarm.

    Attributes:
        name: Name of agent and worker.
        tasks: Pretended tasks by ID.
        revision: Highest configuration revision seen.
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
        self.tasks: dict[str, StandInTask] = {}
        self.revision = 0
        self._sequence = 0
        self._incarnation = random.getrandbits(32)
        self._client = control_client.ControlClient(
            addresses=addresses,
            time=time_source,
            attempt_timeout_ms=CALL_TIMEOUT_MS,
        )

    async def beat(self) -> int:
        """Sends one heartbeat and applies its reply.

        Returns:
            The leader's monotonic time in ms when it answered; the own time
            without an answer.
        """
        self._finish_due_tasks()
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

    def _finish_due_tasks(self) -> None:
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
            self.tasks[start.task] = StandInTask(
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
    agent: StandInAgent, *, period_ms: int, phase_ms: int | None, until: float
) -> None:
    """Sends heartbeats until `until`.

    Args:
        agent: The stand-in.
        period_ms: Period of its heartbeats.
        phase_ms: Its own phase; None to send at the leader's moments.
        until: Monotonic time in s.
    """
    await asyncio.sleep(clock.seconds(phase_ms or 0))
    while (started := time.monotonic()) < until:
        leader_ms = await agent.beat()
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
    """Runs all stand-ins for the given time and returns the totals."""
    counts = Counts()
    until = time.monotonic() + args.duration_s
    agents = [
        StandInAgent(
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
    """Parses the arguments, runs the swarm and prints the totals as JSON."""
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
