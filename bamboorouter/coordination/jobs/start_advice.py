"""Asks a service outside on which workers advised steps may start.

One question is under way at a time. While it is, the steps wait and everything
else goes on. A service that is busy or silent is asked again after a pause that
doubles; nothing starts without its answer.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.coordination.policies import advised_starts
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import jobs

FIRST_PAUSE_MS: Final = 50
LONGEST_PAUSE_MS: Final = 1600


@dataclasses.dataclass(frozen=True, kw_only=True)
class Advice:
    """An answer of the service.

    Attributes:
        tickets: Ticket of each life that may run the step.
        valid_ms: How long the tickets are accepted.
    """

    tickets: Mapping[str, str]
    valid_ms: int


class AdviceSource(Protocol):
    """The service, whatever protocol it speaks."""

    async def ask(
        self, key: advised_starts.StepKey, lives: Sequence[str]
    ) -> Advice:
        """Returns which lives of workers may run a step.

        Raises:
            RouterError: It is busy or didn't answer.
        """
        ...


class StartAdvice:
    """Keeps tickets for the steps that wait for them.

    Attributes:
        source: The service; None if there is none.
        clock: Source of time.
        known: What it answered.
    """

    def __init__(
        self,
        *,
        source: AdviceSource | None,
        time: clock.Clock,
        answered: Callable[[], None],
    ) -> None:
        """Builds it.

        Args:
            source: The service; None if there is none.
            time: Source of time.
            answered: Called when steps may have become able to start.
        """
        self.source = source
        self.clock = time
        self.known = advised_starts.TicketCache()
        self._answered = answered
        self._pause_ms = FIRST_PAUSE_MS
        self._asking: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        """Asks nothing any more."""
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.gather(self._asking, return_exceptions=True)

    def reset(self) -> None:
        """Forgets what earlier leaders were told."""
        self.known.clear()

    def forget_ended(self, active: frozenset[str]) -> None:
        """Forgets the steps of all but the active jobs."""
        self.known.retain_jobs(active)

    def rejected(self, ref: jobs.TaskRef, life: str) -> None:
        """Takes note that a worker rejected a start."""
        self.known.expire_ticket(step_key(ref), life)

    def ticket(self, ref: jobs.TaskRef, life: str) -> str:
        """Returns the ticket for a start; empty if there is none."""
        tickets = self.known.tickets(step_key(ref), self.clock.now())
        return tickets.get(life, "")

    def with_tickets(
        self, task: run_placement.ReadyTask
    ) -> run_placement.ReadyTask:
        """Returns a task of an advised step with the workers it may go to."""
        tickets = self.known.tickets(step_key(task.ref), self.clock.now())
        return dataclasses.replace(task, allowed=frozenset(tickets))

    def consider(
        self,
        tasks: Iterable[run_placement.ReadyTask],
        workers: Sequence[run_placement.WorkerCapacity],
    ) -> None:
        """Asks what is needed most, unless a question is under way.

        Args:
            tasks: Tasks of advised steps that wait, first in line first.
            workers: What may be used.
        """
        steps: dict[advised_starts.StepKey, advised_starts.AdvisedStep] = {}
        for task in tasks:
            key = step_key(task.ref)
            before = steps[key].waiting if key in steps else 0
            steps[key] = advised_starts.AdvisedStep(
                key=key, task=task, waiting=before + 1
            )
        if self.source is None or self._asking is not None:
            return
        question = self.known.next_request(
            steps.values(), workers, self.clock.now()
        )
        if question is not None:
            self._asking = asyncio.create_task(self._ask(self.source, question))

    async def _ask(
        self, source: AdviceSource, question: advised_starts.AdviceRequest
    ) -> None:
        sent = self.clock.now()
        try:
            advice = await source.ask(question.key, question.incarnations)
            self._pause_ms = FIRST_PAUSE_MS
            self.known.record_answer(
                question, advice.tickets, until_ms=sent + advice.valid_ms
            )
            events.log(
                events.ADVICE_TAKEN,
                step="/".join(map(str, question.key)),
                asked=len(question.incarnations),
                allowed=len(advice.tickets),
                took_ms=self.clock.now() - sent,
            )
        except Exception as err:  # pylint: disable=broad-except
            # Whatever the service answered, it is asked again, not at once.
            events.log(
                events.ADVICE_FAILED,
                step="/".join(map(str, question.key)),
                error=repr(err),
                pause_ms=self._pause_ms,
            )
            await asyncio.sleep(clock.seconds(self._pause_ms))
            self._pause_ms = min(2 * self._pause_ms, LONGEST_PAUSE_MS)
        finally:
            self._asking = None
            self._answered()


def step_key(ref: jobs.TaskRef) -> advised_starts.StepKey:
    """Returns the step of a task."""
    return ref.job, ref.occurrence, ref.step
