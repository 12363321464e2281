"""Runs one replica of the log on the event loop: proposals, links, timer, sync.

All code runs on the loop's thread. A sync is scheduled after the messages are
sent, so a leader's sync overlaps with the network transfer, and inputs of the
same loop iteration share one sync. Commands that arrive while the maximum number
of entries is in flight share the next entry (group commit).
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import random
from typing import Final

import reactivex
from reactivex import subject

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter.coordination.log import consensus
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import engine as replica_engine
from bamboorouter.coordination.log import formation
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import leadership
from bamboorouter.coordination.log import member_changes
from bamboorouter.coordination.log import peers
from bamboorouter.coordination.log import proposals
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.log import state_bound
from bamboorouter.protocol import commands
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.state import log_store
from bamboorouter.state import machine as state_machine
from bamboorouter.transport import files
from bamboorouter.transport import link

BATCH_COMMANDS: Final = 256
BATCH_BYTES: Final = 512 * 1024
# Half of the 8 MiB that a frame of a link may have.
MAX_COMMAND_BYTES: Final = 4 * 1024 * 1024
# More entries in flight would make batches smaller without lower latency.
MAX_ENTRIES_IN_FLIGHT: Final = 4
# Applying more entries in one step would delay heartbeats while catching up.
MAX_APPLIED_PER_STEP: Final = 128
TRANSFER_TIMEOUT_MS: Final = 1000
# First members that start together form their group in less time than this; a
# first member without a group logs a warning afterwards.
FORMATION_GRACE_MS: Final = 10_000
MEMBER_CHANGE_TIMEOUT_MS: Final = 5000
_BYTES_PER_MB: Final = 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """Status of a replica for operators.

    Attributes:
        id: ID from the data folder.
        term: Current term.
        role: "follower", "pre-candidate", "candidate" or "leader".
        halted: Whether storage or the application of an entry failed.
        leader_address: Address of the leader; empty if unknown.
        first_index: Index of the oldest entry in the log.
        last_index: Index of the newest entry in the log.
        commit: Index of the newest entry known to be committed.
        applied: Index of the newest applied entry.
        lag: On the leader, number of entries that each other member lacks, by
            ID.
        committed: On the leader, index of the newest entry that each other
            member knows to be committed, by ID.
        silent_ms: On the leader, age in ms of the newest message that each
            other member has answered, counted from its sending, by ID.
    """

    id: str
    term: int
    role: str
    halted: bool
    leader_address: str
    first_index: int
    last_index: int
    commit: int
    applied: int
    lag: dict[str, int]
    committed: dict[str, int]
    silent_ms: dict[str, int]


class Replica:
    """One replica of the log with its state machine.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [control] of the settings.
        limits: Limits for snapshots and log retention.
        machine: State machine with all applied entries.
        engine: Core, storage and state machine; set by `start`.
        address: Address that the other replicas dial; set by `start`.
        applied: Emits the index of each entry after it was applied.
        leadership: Emits the current leadership and each change.
    """

    engine: replica_engine.Engine

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.ControlOptions,
        folder: files.Folder,
        machine: state_machine.Machine,
        time: clock.Clock,
        batch_commands: int = BATCH_COMMANDS,
        limits: replica_engine.Limits | None = None,
    ) -> None:
        self.process = process
        self.settings = settings
        self.limits = limits or replica_engine.Limits.within(
            settings.retention_mb * _BYTES_PER_MB,
            snapshot_entries=settings.snapshot_entries,
            disk_bytes=settings.disk_mb * _BYTES_PER_MB,
        )
        # An entry that fits into a segment doesn't exceed the size of the log.
        self._max_command_bytes = min(
            MAX_COMMAND_BYTES, self.limits.segment_bytes
        )
        self.machine = machine
        self._folder = folder
        self._clock = time
        self._applied = subject.Subject[int]()
        self._leadership_feed = leadership.LeadershipFeed()
        self.applied: reactivex.Observable[int] = self._applied
        self.leadership: reactivex.Observable[replicated_log.Leadership] = (
            self._leadership_feed.changes
        )
        self._proposals = proposals.Proposals(
            batch_limit=batch_commands, batch_bytes=BATCH_BYTES
        )
        self._peers = peers.Peers(
            group=settings.group,
            handler=self.handle,
            on_lost=self._link_lost,
            time=time,
        )
        self._members = membership.Members()
        self._scheduled: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._formation_task: asyncio.Task[None] | None = None
        # Term of the pending proposals; 0 while this replica doesn't lead.
        self._proposals_term = 0
        self._not_leading = asyncio.Event()
        self._stopped = False
        self.address = ""

    # --- Start and stop ------------------------------------------------------

    async def start(self, address: str, *, last_leader_contact_ms: int) -> None:
        """Opens the data folder and joins the protocol.

        Args:
            address: Address that the other replicas dial.
            last_leader_contact_ms: Latest time at which an earlier run of this
                replica may have heard a leader, in ms of the clock.

        Raises:
            StorageError: The data folder is damaged.
            OptionsError: `bootstrap` doesn't contain the address.
        """
        settings = self.settings
        self.address = address
        bootstrap = settings.bootstrap
        if bootstrap and address not in bootstrap:
            raise errors.OptionsError(
                text=f"bootstrap does not contain the address {address}",
                step="start",
            )
        self.engine = replica_engine.Engine(
            folder=self._folder,
            machine=self.machine,
            host=self,
            group=settings.group,
            address=address,
            rng=random.Random(),
            now=self._clock.now(),
            last_leader_contact_ms=last_leader_contact_ms,
            limits=self.limits,
        )
        self._log_opened()
        if not self.engine.formed():
            self._start_formation(address)
        self._after_step()

    def _log_opened(self) -> None:
        state = self._state()
        events.log(
            events.REPLICA_OPENED,
            replica=self.engine.id,
            address=self.address,
            members=_describe(state.members.current),
            quorum=state.members.quorum,
            term=state.term,
            voted_for=state.voted_for,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            commit=state.commit,
        )

    async def stop(self) -> None:
        """Transfers leadership if this replica leads, then closes all links.

        Also stops a replica whose start failed.
        """
        if self._opened() and self._core().leader_state is not None:
            await self._transfer_leadership()
        self.release_folder()
        if self._formation_task is not None:
            self._formation_task.cancel()
            await asyncio.gather(self._formation_task, return_exceptions=True)
        await self._peers.close()

    def release_folder(self) -> None:
        """Halts this replica and closes its folder, to which it then can't write.

        Pending proposals fail. `stop` is still required to close the links.
        """
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._proposals.fail_all(leader="")
        if self._opened():
            self._core().halt()
            self._publish_changes()
        self._folder.close()

    def _opened(self) -> bool:
        # `start` sets the engine once it has opened the folder.
        return hasattr(self, "engine")

    async def _transfer_leadership(self) -> None:
        """Transfers leadership; waits at most TRANSFER_TIMEOUT_MS for that.

        A single voter has no successor and doesn't wait.
        """
        self._step(lambda: self._core().transfer(self._clock.now()))
        if self._state().members.voters == (self.engine.id,):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(TRANSFER_TIMEOUT_MS)):
                await self._not_leading.wait()
                await self._peers.wait_sent()

    def _start_formation(self, address: str) -> None:
        bootstrap = self.settings.bootstrap
        if bootstrap and address == bootstrap[0]:
            self._formation_task = asyncio.create_task(
                self._form_group(address)
            )
        else:
            self._formation_task = asyncio.create_task(
                self._log_if_not_member()
            )

    async def _log_if_not_member(self) -> None:
        """Logs an event if this replica still belongs to no group."""
        if self.settings.bootstrap:
            await asyncio.sleep(clock.seconds(FORMATION_GRACE_MS))
        if not self.engine.formed():
            events.log(events.WAITING_TO_JOIN, replica=self.engine.id)

    async def _form_group(self, address: str) -> None:
        members = await formation.first_members(
            group=self.settings.group,
            replica_id=self.engine.id,
            address=address,
            bootstrap=self.settings.bootstrap,
        )
        if members is None or self.engine.formed():
            return
        self.engine.form(members, self._clock.now())
        events.log(events.GROUP_FORMED, members=[m.id for m in members.members])
        self._after_step()

    # --- Interface of the log ------------------------------------------------

    @property
    def log(self) -> log_store.LogStore:
        """Log entries in the data folder."""
        return self.engine.log

    def lease_valid(self) -> bool:
        """Whether this replica leads and heard a quorum within 800 ms."""
        return self.engine.lease_valid(self._clock.now())

    def leader_contact_ms(self) -> int:
        """Returns when this replica last heard a leader or led, in ms."""
        return self._core().leader_contact_ms(self._clock.now())

    def term(self) -> int:
        """Returns the current term."""
        return self._state().term

    def formed(self) -> bool:
        """Whether the log has the first entry of a group."""
        return self.engine.formed()

    def leader_address(self) -> str:
        """Returns the address of the leader; empty if unknown."""
        return self._state().leader_address

    async def propose(
        self, command: commands.Command, *, timeout_ms: int
    ) -> commands.Result:
        """Commits and applies a command.

        Args:
            command: The command.
            timeout_ms: Longest wait for the result, in ms.

        Returns:
            The result of applying the command.

        Raises:
            NotLeaderError: Nothing was proposed.
            RefusedError: The command is too large or the queue is full.
            UnknownResultError: The command was proposed, but its result isn't
                known.
        """
        self._require_lease("propose")
        size = len(commands.BATCH_CODEC.encode(self._make_batch((command,))))
        if size > self._max_command_bytes:
            raise _refused(
                error_texts.COMMAND_TOO_LARGE,
                size=size,
                limit=self._max_command_bytes,
            )
        proposal = proposals.PendingProposal(
            command=command, size=size, result=_future()
        )
        if self._proposals.is_full(proposal):
            raise _refused(error_texts.LOG_BUSY)
        self._require_room(command, size)
        started = self._clock.now()
        self._proposals.add(proposal)
        self._schedule("flush", self._flush)
        result = await self._wait_for_result(proposal, timeout_ms)
        metrics.COMMIT_SECONDS.observe(
            clock.seconds(self._clock.now() - started)
        )
        return result

    async def handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Handles a message from another replica.

        Returns:
            The identity of this replica if it was requested; else None, because
            replies of the protocol are pushed.

        Raises:
            ProtocolError: The message belongs to another group.
        """
        if getattr(message, "group", None) != self.settings.group:
            raise errors.ProtocolError(
                text=f"{type(message).__name__} belongs to another group",
                step="consensus",
                peer=source.peer,
            )
        if isinstance(message, messages.Identify):
            return messages.Identity(
                group=self.settings.group,
                replica=self.engine.id,
                formed=self.engine.formed(),
            )
        self._peers.record_sender(message, source)
        self._step(lambda: self._core().receive(message, self._clock.now()))
        return None

    def status(self) -> ReplicaStatus:
        """Returns the status of this replica."""
        core = self._core()
        followers = core.leader_state.followers if core.leader_state else {}
        return ReplicaStatus(
            id=self.engine.id,
            term=core.state.term,
            role=core.role.value,
            halted=core.halted,
            leader_address=core.state.leader_address,
            first_index=self.log.first_index,
            last_index=self.log.last_index,
            commit=core.state.commit,
            applied=self.engine.applied_index,
            lag={
                replica_id: self.log.last_index - follower.match
                for replica_id, follower in followers.items()
            },
            committed={
                replica_id: follower.commit
                for replica_id, follower in followers.items()
            },
            silent_ms={
                replica_id: self._clock.now() - follower.acknowledged_ms
                for replica_id, follower in followers.items()
            },
        )

    # --- Members -------------------------------------------------------------

    def members(self) -> tuple[membership.Member, ...]:
        """Returns the members in force."""
        return self._state().members.current.members

    async def add_learner(self, replica_id: str, address: str) -> None:
        """Adds a replica that receives the log but doesn't vote yet.

        Raises:
            NotLeaderError: Nothing was changed.
            RefusedError: Nothing was changed; another change is not committed
                yet.
            UnknownResultError: The change may take effect later.
        """
        leader = self._require_lease("add learner")
        await self._change_members(
            member_changes.add_learner(
                leader, replica_id=replica_id, address=address
            )
        )

    async def promote(self, replica_id: str) -> None:
        """Promotes a learner that has caught up to a voter.

        Raises:
            NotLeaderError: Nothing was changed.
            RefusedError: Nothing was changed; the learner hasn't caught up or
                another change is not committed yet.
            UnknownResultError: The change may take effect later.
        """
        leader = self._require_lease("promote")
        await self._change_members(
            member_changes.promote(leader, replica_id=replica_id)
        )

    async def demote(self, replica_id: str) -> None:
        """Demotes a voter to a learner.

        Raises:
            NotLeaderError: Nothing was changed.
            RefusedError: Nothing was changed; fewer than a majority of the
                remaining voters answer or another change is not committed yet.
            UnknownResultError: The change may take effect later.
        """
        leader = self._require_lease("demote")
        await self._change_members(
            member_changes.demote(
                leader, replica_id=replica_id, now=self._clock.now()
            )
        )

    async def remove(self, replica_id: str) -> None:
        """Removes a replica; a replica with the same ID must not join again.

        Raises:
            NotLeaderError: Nothing was changed.
            RefusedError: Nothing was changed; fewer than a majority of the
                remaining voters answer or another change is not committed yet.
            UnknownResultError: The change may take effect later.
        """
        leader = self._require_lease("remove")
        await self._change_members(
            member_changes.remove(
                leader, replica_id=replica_id, now=self._clock.now()
            )
        )

    async def _change_members(self, members: membership.Members | None) -> None:
        if members is None:
            return
        payload = membership.CODEC.encode(members)
        proposal = proposals.PendingProposal(
            command=None, size=len(payload), result=_future()
        )
        self._step(
            functools.partial(
                self._propose_batch, [proposal], messages.KIND_MEMBERS, payload
            )
        )
        await self._wait_for_result(proposal, MEMBER_CHANGE_TIMEOUT_MS)

    # --- Proposals -----------------------------------------------------------

    def _require_lease(self, step: str) -> leader_state.LeaderState:
        leader = self._core().leader_state
        if leader is not None and self.lease_valid():
            return leader
        raise errors.NotLeaderError(
            leader="" if leader is not None else self.leader_address(),
            step=step,
        )

    def _require_room(self, command: commands.Command, size: int) -> None:
        """Refuses a command after which a snapshot may not fit on the disk."""
        limit = self.limits.max_state_bytes
        if not limit or not state_bound.grows_state(command):
            return
        grown = (
            self.engine.state_bytes()
            + self._proposals.growth_bytes
            + state_bound.added_bytes(command, size=size)
        )
        if grown > limit:
            self.engine.measure_state(self._clock.now())
            raise _refused(error_texts.STATE_FULL, size=grown, limit=limit)

    def _make_batch(
        self, batch: tuple[commands.Command, ...]
    ) -> commands.CommandBatch:
        return commands.CommandBatch(wall_ms=self._clock.wall(), commands=batch)

    async def _wait_for_result(
        self, proposal: proposals.PendingProposal, timeout_ms: int
    ) -> commands.Result:
        try:
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                return await proposal.result
        except TimeoutError as err:
            if self._proposals.withdraw(proposal):
                # The error states that nothing was proposed.
                raise errors.NotLeaderError(leader="", step="propose") from err
            raise errors.UnknownResultError(
                text=f"not applied within {timeout_ms} ms", step="propose"
            ) from err

    def _flush(self) -> None:
        """Proposes queued commands until the limit of entries in flight."""
        while (
            self._proposals.queue
            and self.engine.leads()
            and len(self._proposals.in_flight) < MAX_ENTRIES_IN_FLIGHT
        ):
            batch = self._proposals.next_batch()
            payload = commands.BATCH_CODEC.encode(
                self._make_batch(
                    tuple(p.command for p in batch if p.command is not None)
                )
            )
            self._step(
                functools.partial(
                    self._propose_batch, batch, messages.KIND_COMMANDS, payload
                )
            )

    def _propose_batch(
        self, batch: list[proposals.PendingProposal], kind: int, payload: bytes
    ) -> None:
        index = self._core().propose(kind, payload, self._clock.now())
        self._proposals.appended(index, batch)

    # --- Host of the engine --------------------------------------------------

    def post(self, envelope: core_state.Envelope) -> None:
        """Sends a message from the core."""
        self._peers.post(envelope, self._state().members.current)

    def request_sync(self) -> None:
        """Schedules a sync after the messages that are queued now are sent."""
        self._schedule("sync", self._sync)

    def applied_entry(self, index: int, results: list[commands.Result]) -> None:
        """Resolves the proposals of an applied entry and publishes its index."""
        self._proposals.applied(index, results)
        self._applied.on_next(index)

    # --- Steps ---------------------------------------------------------------

    def _core(self) -> consensus.Core:
        return self.engine.core

    def _state(self) -> core_state.CoreState:
        return self.engine.core.state

    def _step(self, step: Callable[[], object]) -> None:
        if not self._stopped:
            self.engine.step(step)
            self._after_step()

    def _sync(self) -> None:
        self.engine.sync(self._clock.now())
        self._after_step()

    def _tick(self) -> None:
        self._timer = None
        self._step(lambda: self._core().tick(self._clock.now()))

    def _link_lost(self, replica_id: str) -> None:
        self._core().link_lost(replica_id)

    def _after_step(self) -> None:
        """Publishes changes, applies committed entries and sets the timer."""
        self._publish_changes()
        if self._state().commit > self.engine.applied_index:
            self._apply()
        self._schedule_tick()

    def _apply(self) -> None:
        if self.engine.apply(MAX_APPLIED_PER_STEP):
            self._schedule("apply", self._apply)
        self._publish_changes()
        if self._proposals.queue:
            self._schedule("flush", self._flush)

    def _schedule(self, name: str, step: Callable[[], None]) -> None:
        """Schedules a step after the callbacks that are ready in the loop now.

        A step whose name is scheduled already isn't scheduled again.
        """
        if name in self._scheduled:
            return
        self._scheduled.add(name)

        def run() -> None:
            self._scheduled.discard(name)
            if not self._stopped:
                step()

        asyncio.get_running_loop().call_soon(run)

    def _schedule_tick(self) -> None:
        """Sets the timer for the next tick, unless an earlier one is set.

        A timer is kept if the deadline moves later, as with each heartbeat: an
        early tick has no effect except that it sets the next timer.
        """
        deadline = self._core().deadline()
        if deadline is None or self._stopped:
            return
        loop = asyncio.get_running_loop()
        delay = max(0, deadline - self._clock.now())
        due = loop.time() + clock.seconds(delay)
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due, self._tick)

    # --- Changes of leadership and members -----------------------------------

    def _publish_changes(self) -> None:
        """Publishes changes of leadership and of members."""
        state = self._state()
        if state.members.current is not self._members:
            self._members = state.members.current
            self._publish_members()
        if self._core().leader_state is not None:
            self._not_leading.clear()
        else:
            self._not_leading.set()
        leads = self.engine.leads()
        if self._proposals_term and (
            self._core().leader_state is None
            or state.term != self._proposals_term
        ):
            self._proposals.fail_all(leader=state.leader_address)
            self._proposals_term = 0
        if leads:
            self._proposals_term = state.term
        self._leadership_feed.update(
            replica_id=self.engine.id,
            leads=leads,
            term=state.term,
            leader_address=state.leader_address,
        )

    def _publish_members(self) -> None:
        events.log(
            events.MEMBERS_CHANGED,
            replica=self.engine.id,
            members=_describe(self._members),
        )
        self._peers.close_removed(self._members)


def _describe(
    members: membership.Members,
) -> list[tuple[str, str, bool]]:
    return [(m.id, m.address, m.voter) for m in members.members]


def _future() -> "asyncio.Future[commands.Result]":
    return asyncio.get_running_loop().create_future()


def _refused(code: str, **values: object) -> errors.RefusedError:
    return errors.RefusedError(
        code=code, text=error_texts.text_for(code, **values), step="propose"
    )
