"""Asks an external advice service on which workers advised steps may start.

A step is advised if the settings of its queue say so. At most one request is
pending at a time. Advised steps wait for the answer, other steps don't. If the
service is busy or doesn't answer, the request is retried with exponential
backoff. An advised step never starts without an answer. If an answer can't be
read, other steps are asked about before its step is again.
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
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.policies import advised_starts
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import jobs

INITIAL_BACKOFF_MS: Final = 50
MAX_BACKOFF_MS: Final = 1600


@dataclasses.dataclass(frozen=True, kw_only=True)
class Advice:
    """An answer of the advice service.

    Attributes:
        tickets: Tickets by the incarnation of a worker that may run the step.
        valid_ms: Time in ms for which workers accept the tickets.
        complete: Whether the whole answer could be read. If not, a worker
            without a ticket may be allowed.
    """

    tickets: Mapping[str, str]
    valid_ms: int
    complete: bool = True


class AdviceSource(Protocol):
    """Interface to an advice service."""

    async def ask(
        self, key: advised_starts.StepKey, incarnations: Sequence[str]
    ) -> Advice:
        """Returns which incarnations of workers may run a step.

        Args:
            key: The step.
            incarnations: Incarnations of the candidate workers.

        Raises:
            RouterError: The service is busy or didn't answer.
        """
        ...


class StartAdvice:
    """Obtains and caches tickets for waiting tasks of advised steps.

    Attributes:
        source: The advice service; None if none is configured.
        clock: Source of time.
        ticket_cache: Cached answers of the service.
    """

    def __init__(
        self,
        *,
        source: AdviceSource | None,
        time: clock.Clock,
        on_answer: Callable[[], None],
    ) -> None:
        """Creates an empty cache.

        Args:
            source: The advice service; None if none is configured.
            time: Source of time.
            on_answer: Called after each answer or failure.
        """
        self.source = source
        self.clock = time
        self.ticket_cache = advised_starts.TicketCache()
        self._on_answer = on_answer
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._pending: asyncio.Task[None] | None = None
        # Step whose last answer couldn't be read; None if there is none.
        self._unread_step: advised_starts.StepKey | None = None

    async def stop(self) -> None:
        """Cancels the pending request."""
        if self._pending is not None:
            self._pending.cancel()
            await asyncio.gather(self._pending, return_exceptions=True)

    def reset(self) -> None:
        """Discards all cached answers, as after an election."""
        self.ticket_cache.clear()

    def forget_ended(self, active: frozenset[str]) -> None:
        """Discards answers for steps of jobs that aren't active."""
        self.ticket_cache.retain_jobs(active)

    def record_rejection(self, ref: jobs.TaskRef, incarnation: str) -> None:
        """Records that an incarnation of a worker rejected a start."""
        self.ticket_cache.expire_ticket(step_key(ref), incarnation)

    def ticket(self, ref: jobs.TaskRef, incarnation: str) -> str:
        """Returns the ticket for a start; empty if there is none."""
        tickets = self.ticket_cache.tickets(step_key(ref), self.clock.now())
        return tickets.get(incarnation, "")

    def with_tickets(
        self, task: run_placement.ReadyTask
    ) -> run_placement.ReadyTask:
        """Returns a task with the workers for which it has tickets."""
        tickets = self.ticket_cache.tickets(
            step_key(task.ref), self.clock.now()
        )
        return dataclasses.replace(task, allowed=frozenset(tickets))

    def request_advice(
        self,
        tasks: Iterable[run_placement.ReadyTask],
        workers: Sequence[run_placement.WorkerCapacity],
    ) -> None:
        """Sends the most urgent request unless one is pending.

        Args:
            tasks: Waiting tasks of advised steps, in scheduling order.
            workers: Workers that may get new runs.
        """
        steps: dict[advised_starts.StepKey, advised_starts.AdvisedStep] = {}
        for task in tasks:
            key = step_key(task.ref)
            waiting = steps[key].waiting if key in steps else 0
            steps[key] = advised_starts.AdvisedStep(
                key=key, task=task, waiting=waiting + 1
            )
        if self.source is None or self._pending is not None:
            return
        request = self.ticket_cache.next_request(
            sorted(
                steps.values(), key=lambda step: step.key == self._unread_step
            ),
            workers,
            self.clock.now(),
        )
        if request is not None:
            self._pending = asyncio.create_task(self._ask(self.source, request))

    async def _ask(
        self, source: AdviceSource, request: advised_starts.AdviceRequest
    ) -> None:
        sent = self.clock.now()
        try:
            advice = await source.ask(request.key, request.incarnations)
            if not advice.complete:
                request = dataclasses.replace(
                    request, incarnations=tuple(advice.tickets)
                )
            self.ticket_cache.record_answer(
                request, advice.tickets, until_ms=sent + advice.valid_ms
            )
            _check_usable(advice)
            self._backoff_ms = INITIAL_BACKOFF_MS
            self._unread_step = None
            events.log(
                events.ADVICE_TAKEN,
                step="/".join(map(str, request.key)),
                asked=len(request.incarnations),
                allowed=len(advice.tickets),
                took_ms=self.clock.now() - sent,
            )
        except Exception as err:  # pylint: disable=broad-except
            # The answer may be malformed in any way; the request is retried
            # after a backoff.
            if isinstance(err, errors.ProtocolError):
                self._unread_step = request.key
            events.log(
                events.ADVICE_FAILED,
                step="/".join(map(str, request.key)),
                error=repr(err),
                pause_ms=self._backoff_ms,
            )
            await asyncio.sleep(clock.seconds(self._backoff_ms))
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        finally:
            self._pending = None
            self._on_answer()


def _check_usable(advice: Advice) -> None:
    """Raises ProtocolError if the same request must be repeated."""
    problem = ""
    if not advice.complete:
        problem = "rows of the answer can't be read"
    elif advice.tickets and advice.valid_ms <= advised_starts.TICKET_MARGIN_MS:
        problem = f"tickets are valid for {advice.valid_ms} ms only"
    if problem:
        raise errors.ProtocolError(text=problem, step="ask for advice")


def step_key(ref: jobs.TaskRef) -> advised_starts.StepKey:
    """Returns the key of a task's step."""
    return ref.job, ref.occurrence, ref.step
