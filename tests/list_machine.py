"""Defines a small state machine for tests of the replicated log."""

import cbor2

from bamboorouter.protocol import commands
from bamboorouter.state import machine


class ListMachine(machine.Machine):
    """Records the jobs of all `CancelJob` commands.

    Attributes:
        jobs: Job of each applied command, in the order of the log.
    """

    def __init__(self) -> None:
        super().__init__()
        self.jobs: list[str] = []

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        results = []
        for command in batch.commands:
            assert isinstance(command, commands.CancelJob)
            self.jobs.append(command.job)
            self.config_revision += 1
            results.append(
                commands.Result(ok=True, data={"position": len(self.jobs)})
            )
        return results

    def snapshot(self) -> bytes:
        return cbor2.dumps([self.config_revision, self.jobs])

    def restore(self, data: bytes) -> None:
        self.config_revision, self.jobs = cbor2.loads(data)


def cancel(job: str) -> commands.CancelJob:
    """Returns a command that `ListMachine` appends to its list."""
    return commands.CancelJob(operation_id=job, operator="test", job=job)
