"""One replica of the log: drives the consensus core with links, disk and time.

All runs on the event loop's thread. A step of the core is followed at once by
what it asks for: saving term and vote, writing the log and queueing messages.
The sync is scheduled behind the sending, so a leader's sync overlaps with the
network, and steps of the same loop iteration share one sync.

A failed write or sync halts the replica: what is on the disk is unknown from
then on, so it acknowledges nothing until a restart has read it again.
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
from bamboorouter.coordination import consensus
from bamboorouter.coordination import formation
from bamboorouter.coordination import membership
from bamboorouter.coordination import peers
from bamboorouter.coordination import proposals
from bamboorouter.coordination import replicated_log
from bamboorouter.protocol import commands
from bamboorouter.protocol import membership as members_protocol
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import machine
from bamboorouter.state import records
from bamboorouter.state import snapshot_store
from bamboorouter.transport import files
from bamboorouter.transport import link

BATCH_COMMANDS: Final = 256
BATCH_BYTES: Final = 512 * 1024
# A frame of a link holds at most 8 MiB.
MAX_COMMAND_BYTES: Final = 4 * 1024 * 1024
# More entries under way would make batches smaller without gaining time.
MAX_OPEN_ENTRIES: Final = 4
# Applying more at once would delay heartbeats while catching up.
APPLY_AT_ONCE: Final = 128
TRANSFER_TIMEOUT_MS: Final = 1000
_REPLIES_UNDER_WAY: Final = 64
_BOOTSTRAP_TERM: Final = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """A replica as operators see it.

    Attributes:
        id: ID from the data folder.
        term: Current term.
        role: "follower", "pre-candidate", "candidate" or "leader".
        halted: Whether storage failed.
        leader_address: Address of the leader; empty if unknown.
        first_index: Oldest entry in the log.
        last_index: Newest entry in the log.
        commit: Newest entry known to be committed.
        applied: Newest applied entry.
        lag: On the leader, entries that each other member lacks, by ID.
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


class Replica:
    """One replica of the log with its state machine.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [control] of the settings.
        machine: State after all applied entries.
        id: ID from the data folder; empty before the start.
        log: The stored entries, for reading.
        core: The consensus core, for reading.
        applied_index: Index of the newest applied entry.
        applied: Emits the index after each applied entry.
        leadership: Emits the current and each later leadership.
    """

    log: log_store.LogStore
    core: consensus.Core

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.ControlOptions,
        folder: files.Folder,
        machine: machine.Machine,
        time: clock.Clock,
        batch_commands: int = BATCH_COMMANDS,
    ) -> None:
        self.process = process
        self.settings = settings
        self.machine = machine
        self.id = ""
        self.applied_index = 0
        self._folder = folder
        self._clock = time
        self._snapshots = snapshot_store.SnapshotStore(folder=folder)
        self._applied = subject.Subject[int]()
        self._leadership = subject.BehaviorSubject(
            replicated_log.Leadership(leads=False, term=0, leader_address="")
        )
        self.applied: reactivex.Observable[int] = self._applied
        self.leadership: reactivex.Observable[replicated_log.Leadership] = (
            self._leadership
        )
        self._proposals = proposals.Proposals(
            batch_limit=batch_commands, batch_bytes=BATCH_BYTES
        )
        self._peers: dict[str, peers.Peer] = {}
        self._routes: dict[str, link.Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._scheduled: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False
        self._led_term = 0
        self._follows = asyncio.Event()

    # --- Start and stop ------------------------------------------------------

    async def start(self, address: str) -> None:
        """Opens the data folder and takes part in the group.

        Args:
            address: Address that the other replicas dial.

        Raises:
            StorageError: The data folder is damaged.
        """
        self.id = hard_state.open_identity(self._folder)
        self.log = log_store.LogStore(folder=self._folder)
        snapshot = self._snapshots.load()
        if snapshot is not None:
            self._restore(snapshot)
        elif self.log.base.index:
            raise errors.StorageError(
                text="no snapshot covers the removed part of the log",
                step="open log",
            )
        self.core = consensus.Core(
            replica_id=self.id,
            group=self.settings.group,
            address=address,
            log=self.log,
            snapshots=self._snapshots,
            saved=hard_state.load(self._folder),
            members=self._member_history(snapshot),
            commit=self.applied_index,
            rng=random.Random(),
            now=self._clock.now(),
        )
        if not self._formed():
            self._start_forming(address)
        self._carry_out()

    async def stop(self) -> None:
        """Hands leadership over if it leads, and closes all links."""
        if self.core.role is consensus.Role.LEADER:
            self._step(lambda: self.core.transfer(self._clock.now()))
            await self._transferred()
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._proposals.fail_all(leader="")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(peer.close() for peer in self._peers.values()))

    async def _transferred(self) -> None:
        """Waits until the transfer was sent, or no longer than allowed."""
        if self._voters() == (self.id,):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(TRANSFER_TIMEOUT_MS)):
                await self._follows.wait()
                await asyncio.gather(
                    *(peer.drained() for peer in self._peers.values())
                )

    def _voters(self) -> tuple[str, ...]:
        return self.core.members.current.voters()

    def _restore(self, snapshot: snapshot_store.Snapshot) -> None:
        position = snapshot.position
        covered = (
            self.log.base.index <= position.index <= self.log.last_index
            and self.log.position_at(position.index) == position
        )
        if not covered and position.index < self.log.base.index:
            raise errors.StorageError(
                text="the snapshot ends before the log begins",
                step="open snapshot",
            )
        if not covered:
            self.log.reset(position)
        self.machine.restore(snapshot.data)
        self.applied_index = position.index

    def _member_history(
        self, snapshot: snapshot_store.Snapshot | None
    ) -> membership.MemberHistory:
        members = members_protocol.Members()
        base = records.Base()
        if snapshot is not None:
            members = members_protocol.CODEC.decode(snapshot.members)
            base = snapshot.position
        return membership.MemberHistory(
            base=base,
            members=members,
            stored=self.log.entries(base.index + 1),
        )

    def _formed(self) -> bool:
        return self.log.last_index > 0

    def _start_forming(self, address: str) -> None:
        bootstrap = self.settings.bootstrap
        if bootstrap and address not in bootstrap:
            raise errors.OptionsError(
                text=f"bootstrap does not contain {address}", step="start"
            )
        if bootstrap == (address,):
            self._form(
                members_protocol.Members(
                    members=(
                        members_protocol.Member(
                            id=self.id, address=address, voter=True
                        ),
                    )
                )
            )
        elif bootstrap and address == bootstrap[0]:
            self._spawn(self._ask_and_form(address))
        elif not bootstrap:
            events.log(events.WAITING_TO_JOIN, replica=self.id)

    async def _ask_and_form(self, address: str) -> None:
        members = await formation.first_members(
            group=self.settings.group,
            replica_id=self.id,
            address=address,
            bootstrap=self.settings.bootstrap,
        )
        if members is not None and not self._formed():
            self._step(lambda: self._form(members))

    def _form(self, members: members_protocol.Members) -> None:
        """Writes the first entry; durable before anyone can see it."""
        self.core.form(
            messages.LogEntry(
                term=_BOOTSTRAP_TERM,
                index=1,
                kind=messages.KIND_MEMBERS,
                payload=members_protocol.CODEC.encode(members),
            ),
            self._clock.now(),
        )
        self.log.sync()
        events.log(events.GROUP_FORMED, members=[m.id for m in members.members])

    # --- Interface of the log ------------------------------------------------

    def lease_valid(self) -> bool:
        """Whether this replica leads and heard a quorum within 800 ms."""
        now = self._clock.now()
        return self._leads() and now < self.core.lease_until(now)

    def term(self) -> int:
        """Returns the current term."""
        return self.core.term

    def leader_address(self) -> str:
        """Returns the address of the leader; empty if unknown."""
        return self.core.leader_address

    async def propose(
        self, command: commands.Command, *, timeout_ms: int
    ) -> commands.Result:
        """Commits and applies a command.

        Args:
            command: The command.
            timeout_ms: How long to wait for the result.

        Returns:
            The result of applying it.

        Raises:
            NotLeaderError: Nothing was proposed.
            RefusedError: The command is too large or too many wait.
            UnknownResultError: Proposed, but the result isn't known.
        """
        self._require_lease("propose")
        size = len(commands.BATCH_CODEC.encode(self._batch((command,))))
        if size > MAX_COMMAND_BYTES:
            raise _refused(
                error_texts.BODY_TOO_LARGE, "propose", limit=MAX_COMMAND_BYTES
            )
        if len(self._proposals.queue) >= proposals.QUEUE_LIMIT:
            raise _refused(error_texts.LOG_BUSY, "propose")
        waiting = proposals.Waiting(
            command=command, size=size, result=_future()
        )
        self._proposals.queue.append(waiting)
        self._schedule("flush", self._flush)
        started = self._clock.now()
        result = await self._result(waiting, timeout_ms)
        metrics.COMMIT_SECONDS.observe(
            clock.seconds(self._clock.now() - started)
        )
        return result

    async def handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Handles a message of another replica; replies go back as pushes.

        Raises:
            ProtocolError: The message is not for this group.
        """
        if getattr(message, "group", None) != self.settings.group:
            raise errors.ProtocolError(
                text=f"{type(message).__name__} of another group",
                step="consensus",
                peer=source.peer,
            )
        match message:
            case messages.Identify():
                return messages.Identity(
                    group=self.settings.group,
                    replica=self.id,
                    formed=self._formed(),
                )
            case messages.VoteRequest():
                self._routes[message.candidate] = source
            case messages.AppendRequest() | messages.SnapshotRequest():
                self._routes[message.leader] = source
        self._step(lambda: self.core.receive(message, self._clock.now()))
        return None

    def status(self) -> ReplicaStatus:
        """Returns the state of this replica."""
        core = self.core
        return ReplicaStatus(
            id=self.id,
            term=core.term,
            role=core.role.value,
            halted=core.halted,
            leader_address=core.leader_address,
            first_index=self.log.first_index,
            last_index=self.log.last_index,
            commit=core.commit,
            applied=self.applied_index,
            lag={
                replica_id: self.log.last_index - follower.match
                for replica_id, follower in core.followers.items()
            },
        )

    # --- Proposals -----------------------------------------------------------

    def _leads(self) -> bool:
        core = self.core
        return (
            core.role is consensus.Role.LEADER
            and not core.transferring
            and self.applied_index >= core.term_start
        )

    def _require_lease(self, step: str) -> None:
        if self.lease_valid():
            return
        leader = self.core.leader_address
        if self.core.role is consensus.Role.LEADER:
            leader = ""
        raise errors.NotLeaderError(leader=leader, step=step)

    def _batch(
        self, batch: tuple[commands.Command, ...]
    ) -> commands.CommandBatch:
        return commands.CommandBatch(wall_ms=self._clock.wall(), commands=batch)

    async def _result(
        self, waiting: proposals.Waiting, timeout_ms: int
    ) -> commands.Result:
        try:
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                return await waiting.result
        except TimeoutError as err:
            if self._proposals.withdraw(waiting):
                raise errors.NotLeaderError(leader="", step="propose") from err
            raise errors.UnknownResultError(
                text=f"not applied within {timeout_ms} ms", step="propose"
            ) from err

    def _flush(self) -> None:
        """Puts waiting commands into entries, as many at once as allowed."""
        while (
            self._proposals.queue
            and self._leads()
            and len(self._proposals.open) < MAX_OPEN_ENTRIES
        ):
            batch = self._proposals.next_batch()
            payload = commands.BATCH_CODEC.encode(
                self._batch(
                    tuple(w.command for w in batch if w.command is not None)
                )
            )
            self._step(
                functools.partial(
                    self._append, batch, messages.KIND_COMMANDS, payload
                )
            )

    def _append(
        self, batch: list[proposals.Waiting], kind: int, payload: bytes
    ) -> None:
        self._proposals.opened(self.log.last_index + 1, batch)
        self.core.propose(kind, payload, self._clock.now())

    # --- Steps ---------------------------------------------------------------

    def _step(self, step: Callable[[], None]) -> None:
        """Runs one input of the core and does what it asks for."""
        if self._stopped or self.core.halted:
            return
        try:
            step()
        except errors.StorageError as err:
            self._halt(err)
        self._carry_out()

    def _carry_out(self) -> None:
        try:
            self._store_and_send()
        except errors.StorageError as err:
            self._halt(err)
        self._announce()
        if self.core.commit > self.applied_index:
            self._apply()
        self._arm_timer()

    def _store_and_send(self) -> None:
        if self.core.halted:
            return
        output = self.core.take()
        if output.saved is not None:
            hard_state.save(self._folder, output.saved)
        self.log.write()
        for envelope in output.messages:
            self._post(envelope)
        if output.install is not None:
            self._install(output.install)
        if self.log.synced_index < self.log.last_index:
            self._schedule("sync", self._sync)

    def _sync(self) -> None:
        def sync() -> None:
            self.log.sync()
            self.core.stored(self._clock.now())

        self._step(sync)

    def _halt(self, error: errors.RouterError) -> None:
        events.log(events.STORAGE_FAILED, replica=self.id, error=str(error))
        self.core.halt()

    def _schedule(self, name: str, step: Callable[[], None]) -> None:
        """Runs a step once, after what is ready in the loop now."""
        if name in self._scheduled:
            return
        self._scheduled.add(name)

        def run() -> None:
            self._scheduled.discard(name)
            if not self._stopped:
                step()

        asyncio.get_running_loop().call_soon(run)

    def _arm_timer(self) -> None:
        """Sets the timer, unless one that fires early enough is set.

        A deadline that moved later, as with each heartbeat, keeps its timer:
        an early tick does nothing and sets the next one.
        """
        deadline = self.core.deadline()
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

    def _tick(self) -> None:
        self._timer = None
        self._step(lambda: self.core.tick(self._clock.now()))

    # --- Messages ------------------------------------------------------------

    def _post(self, envelope: consensus.Envelope) -> None:
        match envelope.message:
            case (
                messages.VoteReply()
                | messages.AppendReply()
                | messages.SnapshotReply()
            ):
                self._reply(envelope)
            case _:
                peer = self._peer(envelope.to)
                if peer is not None:
                    peer.send(envelope.message)

    def _reply(self, envelope: consensus.Envelope) -> None:
        route = self._routes.get(envelope.to)
        if route is None or route.closed.is_set():
            self._routes.pop(envelope.to, None)
            return
        if len(self._tasks) < _REPLIES_UNDER_WAY:
            self._spawn(_push(route, envelope.message))

    def _peer(self, replica_id: str) -> peers.Peer | None:
        member = self.core.members.current.find(replica_id)
        peer = self._peers.get(replica_id)
        if peer is not None and (
            member is None or member.address == peer.address
        ):
            return peer
        if member is None:
            return None
        if peer is not None:
            self._spawn(peer.close())
        peer = peers.Peer(
            replica_id=replica_id,
            address=member.address,
            group=self.settings.group,
            handler=self.handle,
            on_lost=self._link_lost,
            time=self._clock,
        )
        self._peers[replica_id] = peer
        return peer

    def _link_lost(self, replica_id: str) -> None:
        self.core.link_lost(replica_id)

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- Leadership ----------------------------------------------------------

    def _announce(self) -> None:
        """Tells observers about a change of leadership or of the leader."""
        now_leads = self._leads()
        if self.core.role is consensus.Role.LEADER:
            self._follows.clear()
        else:
            self._follows.set()
        current = replicated_log.Leadership(
            leads=now_leads,
            term=self.core.term,
            leader_address=self.core.leader_address,
        )
        before = self._leadership.value
        if current == before:
            return
        if self._led_term and (
            self.core.role is not consensus.Role.LEADER
            or self.core.term != self._led_term
        ):
            self._proposals.fail_all(leader=current.leader_address)
            self._led_term = 0
        if now_leads and not before.leads:
            self._led_term = self.core.term
            events.log(
                events.LEADER_ELECTED, replica=self.id, term=self.core.term
            )
        elif before.leads and not now_leads:
            events.log(
                events.LEADER_STEPPED_DOWN, replica=self.id, term=before.term
            )
        elif current.leader_address and not now_leads:
            events.log(
                events.LEADER_CHANGED,
                replica=self.id,
                term=self.core.term,
                leader=current.leader_address,
            )
        metrics.LEADS.set(int(now_leads))
        self._leadership.on_next(current)

    # --- Applying ------------------------------------------------------------

    def _apply(self) -> None:
        """Applies committed entries, some at a time."""
        entries = self.log.read(
            self.applied_index + 1, max_bytes=consensus.APPEND_BYTES
        )
        for entry in entries[:APPLY_AT_ONCE]:
            if entry.index > self.core.commit or not self._apply_entry(entry):
                break
        self._announce()
        if self.core.halted:
            return
        if self.core.commit > self.applied_index:
            self._schedule("apply", self._apply)
        if self._proposals.queue:
            self._schedule("flush", self._flush)

    def _apply_entry(self, entry: messages.LogEntry) -> bool:
        results = [commands.Result(ok=True)]
        if entry.kind == messages.KIND_COMMANDS:
            batch = commands.BATCH_CODEC.decode(entry.payload)
            try:
                results = self.machine.apply(entry.index, batch)
            except Exception as err:  # pylint: disable=broad-except
                # State after a failed apply may differ between replicas.
                events.log(
                    events.APPLY_FAILED, index=entry.index, error=repr(err)
                )
                self.core.halt()
                self._proposals.fail_all(leader="")
                return False
        self.applied_index = entry.index
        self._proposals.applied(entry.index, results)
        self._applied.on_next(entry.index)
        return True

    def _install(self, snapshot: snapshot_store.Snapshot) -> None:
        """Replaces state and log by a snapshot of the leader."""
        self._snapshots.save(snapshot)
        self.log.reset(snapshot.position)
        self.machine.restore(snapshot.data)
        self.applied_index = snapshot.position.index
        self.core.installed(snapshot, self._clock.now())
        events.log(
            events.SNAPSHOT_INSTALLED,
            replica=self.id,
            index=self.applied_index,
        )
        self._applied.on_next(self.applied_index)
        self._store_and_send()


def _future() -> "asyncio.Future[commands.Result]":
    return asyncio.get_running_loop().create_future()


def _refused(code: str, step: str, **values: object) -> errors.RefusedError:
    return errors.RefusedError(
        code=code, text=error_texts.text_for(code, **values), step=step
    )


async def _push(route: link.Link, message: messages.Message) -> None:
    try:
        async with asyncio.timeout(clock.seconds(peers.SILENCE_MS)):
            await route.push(message)
    except (errors.RouterError, TimeoutError):
        # A lost reply shows at the leader, which sends again.
        return
