"""The control role: a replica of the log that schedules while it leads.

One server accepts the links of other replicas, agents and entries for as long
as the role runs. The replica behind it is an instance that the role opens, and
replaces by a new one after a storage failure:

1. A replica whose write, sync or read fails halts: it holds no leader lease,
   answers nothing and fails all pending proposals.
2. Its data folder is closed, so that it can't write any longer, and all links
   are closed, so that callers and replicas soon try another replica. Until the
   next replica is open, callers are redirected.
3. The halted instance is stopped. This is waited for a limited time.
4. A new instance reads the folder. The attempts are repeated with an increasing
   delay until one succeeds; a replica that soon halts again keeps the delay.

A new instance grants no vote until the lease of any leader that the halted one
heard has ended: the time of opening counts as its last contact with a leader.
"""

import asyncio
from collections.abc import Coroutine
import pathlib
from typing import Any
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter import supervision
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.log import replica
from bamboorouter.protocol import messages
from bamboorouter.roles import control_instance
from bamboorouter.transport import files
from bamboorouter.transport import link

HALT_POLL_MS: Final = 50
CLOSE_TIMEOUT_MS: Final = 3000
REOPEN_MIN_DELAY_MS: Final = 500
# An attempt on a full disk is cheap: it fails at the first small write.
REOPEN_MAX_DELAY_MS: Final = 2000
# Other failures, such as a damaged record, don't end by themselves, and an
# attempt may read the whole log.
REOPEN_MAX_DELAY_DAMAGED_MS: Final = 30_000
# A replica that ran for this time starts with the shortest delay again.
STABLE_MS: Final = 10_000


class ControlRole:
    """Runs the control role.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [control] of the settings.
        addresses: Bound addresses by name.
        instance: The open replica with its services; None while the data folder
            can't be opened.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.ControlOptions,
        time: clock.Clock | None = None,
        last_leader_contact_ms: int | None = None,
        advice: start_advice.AdviceSource | None = None,
    ) -> None:
        """Creates the role without starting it.

        Args:
            process: Section [process] of the settings.
            settings: Section [control] of the settings.
            time: Source of time.
            last_leader_contact_ms: Latest monotonic time in ms at which an
                earlier run of this replica may have heard a leader; None for
                the present.
            advice: Source of placement advice for the steps of queues that
                need it; None if there is none.
        """
        self.process = process
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.instance: control_instance.ControlInstance | None = None
        self._clock = time or clock.SystemClock()
        self._last_leader_contact_ms = (
            self._clock.now()
            if last_leader_contact_ms is None
            else last_leader_contact_ms
        )
        self._advice = advice
        self._seeds = process.control
        self._server: link.LinkServer | None = None
        self._keeper: asyncio.Task[None] | None = None
        self._delay_ms = 0
        self._opened_ms = self._clock.now()
        # Time since which no replica takes part; None while one does.
        self._halted_ms: int | None = None

    @property
    def replica(self) -> replica.Replica | None:
        """The open replica of the log; None if there is none."""
        return self.instance.replica if self.instance is not None else None

    async def start(self) -> None:
        """Binds the address, opens the data folder and joins the group.

        If storage fails, the role starts without a replica and opens it later.

        Raises:
            OptionsError: `bootstrap` doesn't contain the address.
        """
        host, _, port = self.settings.listen.rpartition(":")
        self._server = await link.serve_links(
            host=host, port=int(port), handler=self._handle
        )
        self.addresses = {"control.listen": f"{host}:{self._server.port}"}
        error = await self._open(self._last_leader_contact_ms)
        if isinstance(error, errors.OptionsError):
            await self.stop()
            raise error
        self._keeper = supervision.start(self._keep_open)

    async def stop(self) -> None:
        """Transfers leadership if this replica leads, then closes all links."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.gather(self._keeper, return_exceptions=True)
        instance, self.instance = self.instance, None
        if instance is not None:
            await instance.stop()
        if self._server is not None:
            await self._server.close()

    def ready(self) -> bool:
        """Whether a replica is open that knows the leader of its group."""
        return self.replica is not None and bool(self.replica.leader_address())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the addresses at which control replicas may be found."""
        self._seeds = seeds
        if self.instance is not None:
            self.instance.set_seeds(seeds)

    async def _handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        if self.instance is None:
            return messages.Redirect(leader="")
        return await self.instance.handle(message, source)

    # --- Recovery from storage failures --------------------------------------

    async def _keep_open(self) -> None:
        """Replaces the replica whenever its storage has failed."""
        while True:
            instance = self.instance
            if instance is None:
                await asyncio.sleep(clock.seconds(self._delay_ms))
                await self._open(self._clock.now())
            elif (failure := instance.failure()) is not None:
                await self._close_halted(instance, failure)
            else:
                await asyncio.sleep(clock.seconds(HALT_POLL_MS))

    async def _open(self, last_leader_contact_ms: int) -> Exception | None:
        """Opens the replica; logs and returns the error if that fails."""
        try:
            self.instance = await self._open_instance(last_leader_contact_ms)
        except Exception as err:  # pylint: disable=broad-except
            self._count_as_halted(err)
            events.log(
                events.REPLICA_NOT_OPENED,
                error=str(err) or repr(err),
                retry_ms=self._delay_ms,
            )
            return err
        self._opened_ms = self._clock.now()
        metrics.REPLICA_HALTED.set(0)
        if self._halted_ms is not None:
            events.log(
                events.REPLICA_REOPENED,
                replica=self.instance.replica.engine.id,
                halted_for_ms=self._opened_ms - self._halted_ms,
            )
            self._halted_ms = None
        return None

    async def _open_instance(
        self, last_leader_contact_ms: int
    ) -> control_instance.ControlInstance:
        instance = control_instance.ControlInstance(
            process=self.process,
            settings=self.settings,
            folder=files.DiskFolder(path=pathlib.Path(self.settings.data_dir)),
            time=self._clock,
            seeds=self._seeds,
            advice=self._advice,
        )
        bound = self.addresses["control.listen"]
        try:
            await instance.start(
                self.settings.advertise or bound,
                last_leader_contact_ms=last_leader_contact_ms,
            )
        except Exception:
            await self._discard(instance)
            raise
        return instance

    async def _close_halted(
        self, instance: control_instance.ControlInstance, failure: Exception
    ) -> None:
        self.instance = None
        self._count_as_halted(failure)
        events.log(
            events.REPLICA_HALTED,
            replica=instance.replica.engine.id,
            error=str(failure) or repr(failure),
            ran_for_ms=self._clock.now() - self._opened_ms,
        )
        await self._discard(instance)

    async def _discard(
        self, instance: control_instance.ControlInstance
    ) -> None:
        """Closes the folder at once, then links and services if they can be."""
        instance.release_folder()
        if self._server is not None:
            await _run_limited(self._server.close_links(), "close links")
        await _run_limited(instance.stop(), "stop replica")

    def _count_as_halted(self, failure: Exception) -> None:
        """Records that no replica takes part and sets the next delay."""
        now = self._clock.now()
        metrics.REPLICA_HALTED.set(1)
        if self._halted_ms is None:
            self._halted_ms = now
            if now - self._opened_ms >= STABLE_MS:
                self._delay_ms = 0
        limit = (
            REOPEN_MAX_DELAY_MS
            if isinstance(failure.__cause__, OSError)
            else REOPEN_MAX_DELAY_DAMAGED_MS
        )
        self._delay_ms = max(
            REOPEN_MIN_DELAY_MS, min(2 * self._delay_ms, limit)
        )


async def _run_limited(work: Coroutine[Any, Any, None], step: str) -> None:
    """Runs work for at most CLOSE_TIMEOUT_MS; logs a failure or a timeout.

    Work that doesn't end when it is cancelled isn't waited for any longer.
    """
    task = asyncio.create_task(work)
    try:
        await asyncio.wait({task}, timeout=clock.seconds(CLOSE_TIMEOUT_MS))
    finally:
        task.cancel()
    if not task.done():
        events.log(events.REPLICA_NOT_CLOSED, step=step, error="timed out")
    elif not task.cancelled() and (error := task.exception()) is not None:
        events.log(events.REPLICA_NOT_CLOSED, step=step, error=repr(error))
