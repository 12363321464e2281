"""Chooses which workers the start-advice service is asked about.

The policy of a queue may allow only some workers to run a step, and only an
external advice service knows which. The service answers one request of a caller
at a time, and its answer takes longer the more workers the request names, while
tasks with tight deadlines wait. Therefore:

* Steps are served in scheduling order.
* A request names few workers, those with the most headroom. More requests
  follow until as many workers are allowed as tasks wait.
* The set of allowed workers of a step doesn't change, so a worker that was
  refused isn't asked about again. The ticket of an allowed worker expires and
  is then requested again.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final

from bamboorouter.coordination.policies import run_placement

# A request takes longer the more workers it names. With this many, a job can
# still meet its target time if each of its steps needs one request.
MAX_WORKERS_PER_REQUEST: Final = 30
# A start order reaches the worker two network hops and one commit after the
# decision.
TICKET_MARGIN_MS: Final = 300

# Job ID, occurrence of the job and index of the step.
StepKey = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvisedStep:
    """A step whose tasks may start only on workers that the service allows.

    Attributes:
        key: Key of the step.
        task: One of the waiting tasks of the step.
        waiting: Number of waiting tasks of the step.
    """

    key: StepKey
    task: run_placement.ReadyTask
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceRequest:
    """A request to the advice service.

    Attributes:
        key: Key of the step.
        incarnations: Incarnations of the workers that the request names.
    """

    key: StepKey
    incarnations: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Ticket:
    """A ticket and the monotonic time in ms at which it expires."""

    value: str
    until_ms: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _StepAdvice:
    """Answers of the advice service about one step.

    Attributes:
        asked: Worker incarnations that were named in a request.
        tickets: Newest ticket by allowed worker incarnation.
    """

    asked: set[str] = dataclasses.field(default_factory=set)
    tickets: dict[str, _Ticket] = dataclasses.field(default_factory=dict)


class TicketCache:
    """Caches start tickets by step and worker incarnation."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepAdvice] = {}

    def clear(self) -> None:
        """Removes all steps."""
        self._steps.clear()

    def retain_jobs(self, active: frozenset[str]) -> None:
        """Removes the steps of jobs that are not in `active`."""
        self._steps = {
            key: advice
            for key, advice in self._steps.items()
            if key[0] in active
        }

    def record_answer(
        self,
        request: AdviceRequest,
        tickets: Mapping[str, str],
        *,
        until_ms: int,
    ) -> None:
        """Records an answer of the advice service.

        Args:
            request: The request that was answered.
            tickets: Ticket by allowed worker incarnation.
            until_ms: Monotonic time in ms at which the tickets expire.
        """
        advice = self._steps.setdefault(request.key, _StepAdvice())
        advice.asked.update(request.incarnations)
        for incarnation, value in tickets.items():
            advice.tickets[incarnation] = _Ticket(
                value=value, until_ms=until_ms
            )

    def expire_ticket(self, key: StepKey, incarnation: str) -> None:
        """Expires the ticket of a worker that rejected a start with it."""
        advice = self._steps.get(key)
        if advice is not None and incarnation in advice.tickets:
            advice.tickets[incarnation] = dataclasses.replace(
                advice.tickets[incarnation], until_ms=0
            )

    def tickets(self, key: StepKey, now: int) -> dict[str, str]:
        """Returns the unexpired tickets of a step by worker incarnation."""
        advice = self._steps.get(key)
        if advice is None:
            return {}
        return {
            incarnation: ticket.value
            for incarnation, ticket in advice.tickets.items()
            if now + TICKET_MARGIN_MS < ticket.until_ms
        }

    def next_request(
        self,
        steps: Iterable[AdvisedStep],
        workers: Sequence[run_placement.WorkerCapacity],
        now: int,
    ) -> AdviceRequest | None:
        """Returns the next request; None if no ticket is missing.

        Args:
            steps: Steps with waiting tasks, in scheduling order.
            workers: Workers on which tasks may be placed.
            now: Monotonic time in ms.
        """
        for step in steps:
            incarnations = self._incarnations_to_ask(step, workers, now)
            if incarnations:
                return AdviceRequest(
                    key=step.key, incarnations=tuple(incarnations)
                )
        return None

    def _incarnations_to_ask(
        self,
        step: AdvisedStep,
        workers: Sequence[run_placement.WorkerCapacity],
        now: int,
    ) -> list[str]:
        advice = self._steps.get(step.key, _StepAdvice())
        valid = self.tickets(step.key, now)
        eligible = [
            worker
            for worker in workers
            if run_placement.suits(step.task, worker)
        ]
        missing = step.waiting - sum(w.incarnation in valid for w in eligible)
        if missing <= 0:
            return []
        expired = [
            worker
            for worker in eligible
            if worker.incarnation in advice.tickets
            and worker.incarnation not in valid
        ]
        unasked = [
            worker
            for worker in eligible
            if worker.incarnation not in advice.asked
        ]
        expired.sort(key=run_placement.WorkerCapacity.headroom, reverse=True)
        unasked.sort(key=run_placement.WorkerCapacity.headroom, reverse=True)
        # Renew only as many expired tickets as there are tasks without one.
        chosen = [*expired[:missing], *unasked][:MAX_WORKERS_PER_REQUEST]
        return [worker.incarnation for worker in chosen]
