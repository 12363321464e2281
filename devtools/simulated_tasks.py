"""Tasks of the stand-in worker, simulated with time.

Batch tasks make progress in ticks. Their rate falls when they are throttled and
when the tasks of the VM use more processors than it has. Each task may disturb
the services on the same VM by its `noise`; services also answer more slowly by
the factor by which the tasks use more processors than there are. A task does nothing after its lease
ends: the lease is checked before each tick and before each request.

Commands: a verb and options, for example `run 5s use=2000 noise=0.3`.
- `run 5s`: finishes after 5 s of undisturbed progress.
- `fail 2s`: fails after that time. `never`: runs until it is stopped.
- `serve time=5ms sensitivity=1 parallel=4`: serves HTTP, with at most 4
  requests being worked on at once; the others wait in order of arrival.
- `refuse`: is refused at the start.
An empty command runs for the declared run time, or serves.
"""

import dataclasses
import re
from typing import Final
from typing import Literal

from bamboorouter.roles import worker_client

TICK_MS: Final = 50
# A tick that comes late, for example after a pause, counts at most this much.
MAX_TICK_MS: Final = 2 * TICK_MS
THROTTLED_RATE: Final = 0.25
MS_PER_SECOND: Final = 1000
# Services use this fraction of what they declare unless they say otherwise.
USED_FRACTION: Final = 0.8

State = Literal["running", "finished", "failed", "evicted", "stopped"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """A parsed command.

    Attributes:
        verb: First word.
        length_ms: Undisturbed run time; 0 without an end.
        time_ms: Undisturbed service time of a request.
        use: Millicores used; -1 for a fraction of the declared ones.
        memory: Memory used in MB; -1 for the declared size.
        noise: Disturbance of services on the same VM.
        sensitivity: How much noise slows this service down.
        parallel: Requests worked on at once; 0 without a bound.
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
    """Returns the command; an empty one follows from the declared sizes."""
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
        raise ValueError(f"duration {text!r} is not like 5s or 5ms")
    factor = 1 if match[2] == "ms" else MS_PER_SECOND
    return float(match[1]) * factor


@dataclasses.dataclass(kw_only=True)
class SimulatedTask:
    """One task on the worker.

    Attributes:
        body: The start request.
        command: The parsed command.
        until_ms: Monotonic time at which the lease ends.
        state: "running" or how it ended.
        progress_ms: Undisturbed run time done.
        ran_until_ms: Monotonic time at which it last did anything.
        checkpoint: Last checkpoint.
        checkpoints: Number of checkpoints taken.
        throttled: Whether it runs at a lower rate.
        url: Base URL of a service.
        detail: Reason of the end.
        latency_ms: Smoothed latency of a service's requests.
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
        """Rate that throttling allows."""
        return THROTTLED_RATE if self.throttled else 1.0

    @property
    def used_millicores(self) -> int:
        """Processor time it uses when not slowed down by others."""
        declared = int(self.body.millicores * USED_FRACTION)
        use = self.command.use if self.command.use >= 0 else declared
        return int(use * self.rate)

    @property
    def used_memory_mb(self) -> int:
        """Memory it uses."""
        use = self.command.memory
        return use if use >= 0 else self.body.memory_mb

    def take_checkpoint(self) -> str:
        """Records the progress as a checkpoint with a unique name."""
        self.checkpoints += 1
        self.checkpoint = (
            f"{self.body.task}:{self.body.epoch}:{self.checkpoints}"
            f":{int(self.progress_ms)}"
        )
        return self.checkpoint

    def resume(self) -> None:
        """Continues from the checkpoint in the start request."""
        self.checkpoint = self.body.resume_from
        if self.checkpoint:
            self.progress_ms = float(self.checkpoint.rpartition(":")[2])

    def advance(self, elapsed_ms: float, now_ms: int) -> State:
        """Makes progress and returns the state that follows from it."""
        self.progress_ms += elapsed_ms
        self.ran_until_ms = now_ms
        ends = self.command.verb in ("run", "fail")
        if not ends or self.progress_ms < self.command.length_ms:
            return "running"
        return "failed" if self.command.verb == "fail" else "finished"

    def describe(self, now_ms: int) -> worker_client.WorkerTask:
        """Returns the task as the interface reports it."""
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


def slowdown(tasks: list[SimulatedTask], millicores: int) -> float:
    """Returns the rate that the VM's processors leave to each task."""
    used = sum(task.used_millicores for task in tasks)
    return min(1.0, millicores / used) if used else 1.0


def disturbance(
    task: SimulatedTask, tasks: list[SimulatedTask], millicores: int
) -> float:
    """Returns the factor by which others lengthen a service's answers."""
    noise = sum(
        other.command.noise * other.rate for other in tasks if other is not task
    )
    factor = 1.0 + task.command.sensitivity * noise
    return factor / slowdown(tasks, millicores)
