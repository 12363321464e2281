"""Chooses which workers to ask about before the tasks of a step start.

Answers this load: a queue's policy lets only some workers run a step, and only
a service outside knows which. It answers one question of a caller at a time and
takes longer the more workers a question names, while tasks with short goals
wait. So the first step in line goes first, and a question names few workers,
those with the most room, until as many are allowed as tasks wait. Which workers
are allowed doesn't change, so nobody is asked twice about one that isn't; the
ticket of one that is ends after a while and is then asked for again.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final

from bamboorouter.coordination.policies import run_placement

# The goals of jobs allow for one question about this many workers a step.
WORKERS_AT_ONCE: Final = 30
# An order takes two hops and a commit from its decision to the worker.
TICKET_MARGIN_MS: Final = 300

# Job, occurrence and number of a step.
StepKey = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvisedStep:
    """A step whose workers must be asked for.

    Attributes:
        key: The step.
        task: One of its tasks that wait.
        waiting: How many of its tasks wait.
    """

    key: StepKey
    task: run_placement.ReadyTask
    waiting: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """What to ask next.

    Attributes:
        key: The step.
        lives: Lives of the workers that it may start on if they are allowed.
    """

    key: StepKey
    lives: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Ticket:
    value: str
    until_ms: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _Known:
    """What is known about one step.

    Attributes:
        asked: Lives that were asked about.
        tickets: Newest ticket of each allowed life.
    """

    asked: set[str] = dataclasses.field(default_factory=set)
    tickets: dict[str, _Ticket] = dataclasses.field(default_factory=dict)


class AdvisedStarts:
    """Tickets by step and life of a worker."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _Known] = {}

    def clear(self) -> None:
        """Forgets everything."""
        self._steps.clear()

    def forget_all_but(self, active: frozenset[str]) -> None:
        """Forgets the steps of all but the named jobs."""
        self._steps = {
            key: known for key, known in self._steps.items() if key[0] in active
        }

    def note(
        self,
        question: Question,
        tickets: Mapping[str, str],
        *,
        until_ms: int,
    ) -> None:
        """Takes an answer.

        Args:
            question: What was asked.
            tickets: Ticket of each allowed life.
            until_ms: Monotonic time in ms until which they are valid.
        """
        known = self._steps.setdefault(question.key, _Known())
        known.asked.update(question.lives)
        for life, value in tickets.items():
            known.tickets[life] = _Ticket(value=value, until_ms=until_ms)

    def reject(self, key: StepKey, life: str) -> None:
        """Takes note that a worker rejected a start; its ticket may be void."""
        known = self._steps.get(key)
        if known is not None and life in known.tickets:
            known.tickets[life] = dataclasses.replace(
                known.tickets[life], until_ms=0
            )

    def tickets(self, key: StepKey, now: int) -> dict[str, str]:
        """Returns the tickets with which starts are still accepted, by life."""
        known = self._steps.get(key)
        if known is None:
            return {}
        return {
            life: ticket.value
            for life, ticket in known.tickets.items()
            if now + TICKET_MARGIN_MS < ticket.until_ms
        }

    def next_question(
        self,
        steps: Iterable[AdvisedStep],
        workers: Sequence[run_placement.WorkerRoom],
        now: int,
    ) -> Question | None:
        """Returns what to ask now; None if nothing needs to be asked.

        Args:
            steps: Steps with tasks that wait, first in line first.
            workers: What may be used.
            now: Monotonic time in ms.
        """
        for step in steps:
            lives = self._lives_to_ask(step, workers, now)
            if lives:
                return Question(key=step.key, lives=tuple(lives))
        return None

    def _lives_to_ask(
        self,
        step: AdvisedStep,
        workers: Sequence[run_placement.WorkerRoom],
        now: int,
    ) -> list[str]:
        known = self._steps.get(step.key, _Known())
        valid = self.tickets(step.key, now)
        suited = [
            worker
            for worker in workers
            if run_placement.suits(step.task, worker)
        ]
        missing = step.waiting - sum(w.life in valid for w in suited)
        if missing <= 0:
            return []
        ended = [
            worker
            for worker in suited
            if worker.life in known.tickets and worker.life not in valid
        ]
        new = [worker for worker in suited if worker.life not in known.asked]
        ended.sort(key=run_placement.WorkerRoom.leftover, reverse=True)
        new.sort(key=run_placement.WorkerRoom.leftover, reverse=True)
        # Those that are known to be allowed are asked for no more than needed.
        chosen = [*ended[:missing], *new][:WORKERS_AT_ONCE]
        return [worker.life for worker in chosen]
