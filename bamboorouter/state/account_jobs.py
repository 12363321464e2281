"""Describes commands on jobs with steps that concern a subject of the account.

A subject is a job, one of its tasks ("job/occurrence/step/index"), a worker or
an incarnation of a worker.
"""

from typing import Any

import msgspec

from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs

# Kind, text and fields of a record.
Description = tuple[str, str, dict[str, Any]]


def describe(
    name: str, command: commands.Command, result: commands.Result | None
) -> list[Description]:
    """Describes what a command decides about a subject.

    Args:
        name: The subject.
        command: The command.
        result: Result of the command; None if it was not replayed.

    Returns:
        Kind, text and fields of each record; none if the command does not
        concern the subject or jobs with steps.
    """
    match command:
        case job_commands.AcceptSteps() if command.job == name:
            return [_accepted(command, result)]
        case job_commands.CancelSteps() if command.job == name:
            return [_cancelled(command, result)]
        case job_commands.StartRuns():
            refused = set(result.data.get("refused", ())) if result else set()
            return [
                _started(run)
                for number, run in enumerate(command.runs)
                if number not in refused
                and (
                    _concerns(name, run.task) or name in (run.worker, run.life)
                )
            ]
        case job_commands.EndRuns():
            return [
                _ended(end) for end in command.ends if _concerns(name, end.task)
            ]
        case job_commands.OpenSession() if name in (
            command.worker,
            command.life,
        ):
            lost = result.data.get("lost", "?") if result else "?"
            text = (
                f"session of incarnation {command.life} opened; {lost} runs"
                " lost"
            )
            return [("session_opened", text, {"life": command.life})]
    return []


def _concerns(name: str, task: jobs.TaskRef) -> bool:
    return name in (task.job, str(task))


def _accepted(
    command: job_commands.AcceptSteps, result: commands.Result | None
) -> Description:
    steps = ", ".join(
        f"{step.count} tasks of {step.need.millicores / 1000:g} processors"
        for step in command.spec.steps
    )
    known = result is not None and not result.data.get("new", True)
    text = (
        f"{'submitted again' if known else 'accepted'} for queue"
        f" {command.queue}"
    )
    fields = {"job": command.job, "queue": command.queue}
    if command.key is not None:
        host, prefix = command.key
        text += f" at {host}{prefix}"
        fields |= {"host": host, "prefix": prefix}
    return (
        "job_sent_again" if known else "job_accepted",
        f"{text}: {steps}",
        fields,
    )


def _cancelled(
    command: job_commands.CancelSteps, result: commands.Result | None
) -> Description:
    unknown = result is not None and not result.data.get("state")
    text = "cancelled before it was submitted" if unknown else "cancelled"
    return ("job_cancelled", text, {"job": command.job})


def _started(run: jobs.RunStart) -> Description:
    text = (
        f"{run.task} attempt {run.attempt} assigned to {run.worker}, number"
        f" {run.place} of {run.waiting} waiting tasks"
    )
    fields: dict[str, Any] = msgspec.structs.asdict(run)
    return ("assigned", text, {**fields, "task": str(run.task)})


def _ended(end: jobs.RunEnd) -> Description:
    checkpoint = f", checkpoint {end.checkpoint}" if end.checkpoint else ""
    text = f"{end.task} attempt {end.attempt}: {end.how}{checkpoint}"
    fields: dict[str, Any] = msgspec.structs.asdict(end)
    return ("ended", text, {**fields, "task": str(end.task)})
