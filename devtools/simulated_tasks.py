"""Simulated tasks of the simulated worker.

Batch tasks make progress in ticks. Their rate decreases when they are throttled
and when the tasks of the VM use more processors than it has. The `noise` of a
task increases the latency of the services on the same VM; so does an overload
of the processors, by the ratio of requested to available processors. A task
does nothing after its lease has expired, which is checked before each tick and
each request.

A command consists of a verb and options, for example
`run 5s use=2000 noise=0.3`:
- `run 5s`: finishes after 5 s of progress at the full rate.
- `fail 2s`: fails after 2 s of progress at the full rate.
- `never`: runs until it is stopped.
- `serve time=5ms sensitivity=1 parallel=4`: serves HTTP and processes at most 4
  requests at the same time; the others wait in order of arrival.
- `refuse`: refuses to start.

With an empty command a batch task runs for its declared run time and a service
task serves.
"""

import dataclasses
import re
from typing import Final
from typing import Literal

from bamboorouter.roles import worker_client

TICK_MS: Final = 50
# Limits the progress of a tick that is late, for example after a pause.
MAX_TICK_MS: Final = 2 * TICK_MS
THROTTLED_RATE: Final = 0.25
MS_PER_SECOND: Final = 1000
# Default usage as a fraction of the declared processors.
USED_FRACTION: Final = 0.8

State = Literal["running", "finished", "failed", "evicted", "stopped"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """A parsed command.

    Attributes:
        verb: First word.
        length_ms: Run time at the full rate; 0 if unused.
        time_ms: Service time of a request without interference.
        use: Millicores used; -1 for `USED_FRACTION` of the declared ones.
        memory: Memory used, in MB; -1 for the declared memory.
        noise: Latency increase for services on the same VM, as a fraction.
        sensitivity: Factor for the noise of other tasks.
        parallel: Maximum number of concurrent requests; 0 for no limit.
    """

    verb: str
    length_ms: int = 0
    time_ms: float = 0.0
    use: int = -1
    memory: int = -1
    noise: float = 0.0
    sensitivity: float = 1.0
    parallel: int = 0


def parse_command(text: str, *, kind: str, run_time_s: int) -> Command:
    """Parses a command.

    Args:
        text: The command; an empty one is derived from the other arguments.
        kind: Kind of the task.
        run_time_s: Declared run time in s.

    Raises:
        ValueError: An option is malformed.
    """
    words = text.split()
    if not words:
        verb = "serve" if kind == "service" else "run"
        return Command(verb=verb, length_ms=run_time_s * MS_PER_SECOND)
    options = dict(word.split("=", 1) for word in words[1:] if "=" in word)
    plain = [word for word in words[1:] if "=" not in word]
    return Command(
        verb=words[0],
        length_ms=int(_duration_ms(plain[0])) if plain else 0,
        time_ms=_duration_ms(options.get("time", "0ms")),
        use=int(options.get("use", -1)),
        memory=int(options.get("memory", -1)),
        noise=float(options.get("noise", 0)),
        sensitivity=float(options.get("sensitivity", 1)),
        parallel=int(options.get("parallel", 0)),
    )


def _duration_ms(text: str) -> float:
    match = re.fullmatch(r"([0-9.]+)(ms|s)", text)
    if match is None:
        raise ValueError(
            f"invalid duration {text!r}: expected for example 5s or 5ms"
        )
    factor = 1 if match[2] == "ms" else MS_PER_SECOND
    return float(match[1]) * factor


@dataclasses.dataclass(kw_only=True)
class SimulatedTask:
    """A task on the worker.

    Attributes:
        body: The start request.
        command: The parsed command.
        until_ms: Monotonic time at which the lease expires.
        state: "running" or the state in which it ended.
        progress_ms: Completed run time, measured at the full rate.
        ran_until_ms: Monotonic time of its last activity.
        checkpoint: Name of the last checkpoint; empty if there is none.
        checkpoints: Number of checkpoints taken.
        throttled: Whether it runs at `THROTTLED_RATE`.
        url: Base URL of a service; empty for a batch task.
        detail: Reason of the end.
        latency_ms: Moving average of a service's request latency.
    """

    body: worker_client.StartTask
    command: Command
    until_ms: int
    state: State = "running"
    progress_ms: float = 0.0
    ran_until_ms: int = 0
    checkpoint: str = ""
    checkpoints: int = 0
    throttled: bool = False
    url: str = ""
    detail: str = ""
    latency_ms: float = 0.0

    @property
    def rate(self) -> float:
        """Fraction of the full rate at which the task may run."""
        return THROTTLED_RATE if self.throttled else 1.0

    @property
    def used_millicores(self) -> int:
        """Millicores that the task uses if the VM has enough."""
        declared = int(self.body.millicores * USED_FRACTION)
        use = self.command.use if self.command.use >= 0 else declared
        return int(use * self.rate)

    @property
    def used_memory_mb(self) -> int:
        """Memory that the task uses, in MB."""
        use = self.command.memory
        return use if use >= 0 else self.body.memory_mb

    def take_checkpoint(self) -> str:
        """Takes a checkpoint; its unique name contains the progress."""
        self.checkpoints += 1
        self.checkpoint = (
            f"{self.body.task}:{self.body.epoch}:{self.checkpoints}"
            f":{int(self.progress_ms)}"
        )
        return self.checkpoint

    def resume(self) -> None:
        """Restores the progress from the checkpoint in the start request."""
        self.checkpoint = self.body.resume_from
        if self.checkpoint:
            self.progress_ms = float(self.checkpoint.rpartition(":")[2])

    def advance(self, elapsed_ms: float, now_ms: int) -> State:
        """Adds progress and returns the resulting state."""
        self.progress_ms += elapsed_ms
        self.ran_until_ms = now_ms
        ends = self.command.verb in ("run", "fail")
        if not ends or self.progress_ms < self.command.length_ms:
            return "running"
        return "failed" if self.command.verb == "fail" else "finished"

    def describe(self, now_ms: int) -> worker_client.WorkerTask:
        """Returns the task in the format of the worker's HTTP interface."""
        return worker_client.WorkerTask(
            task=self.body.task,
            epoch=self.body.epoch,
            kind=self.body.kind,
            millicores=self.body.millicores,
            memory_mb=self.body.memory_mb,
            accelerators=self.body.accelerators,
            slots=self.body.slots,
            state=self.state,
            remaining_ms=max(self.until_ms - now_ms, 0),
            checkpoint=self.checkpoint,
            url=self.url if self.state == "running" else "",
            detail=self.detail,
            throttled=self.throttled,
        )


def processor_rate(tasks: list[SimulatedTask], millicores: int) -> float:
    """Returns the fraction of its demand that each task on a VM can use."""
    used = sum(task.used_millicores for task in tasks)
    return min(1.0, millicores / used) if used else 1.0


def latency_factor(
    task: SimulatedTask, tasks: list[SimulatedTask], millicores: int
) -> float:
    """Returns the factor by which other tasks increase a service's latency."""
    noise = sum(
        other.command.noise * other.rate for other in tasks if other is not task
    )
    factor = 1.0 + task.command.sensitivity * noise
    return factor / processor_rate(tasks, millicores)
