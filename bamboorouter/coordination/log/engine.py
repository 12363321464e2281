"""Consensus core, storage and state machine of one replica, put together.

Each input of the core is followed at once by what the core asks for: saving
term and vote, writing the log, sending messages. Time, network and the moment
of a sync are the host's, so that a test can control all three.

A failed write or sync halts the replica: what is on the disk is unknown from
then on, so it acknowledges nothing until a restart has read it again.
"""

from collections.abc import Callable
import dataclasses
import random
from typing import Final
from typing import Protocol

from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.log import consensus
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import membership
from bamboorouter.protocol import commands
from bamboorouter.protocol import membership as members_protocol
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import machine
from bamboorouter.state import records
from bamboorouter.state import snapshot_store
from bamboorouter.transport import files

# A snapshot of 50,000 keys stops the loop for 0.3 s. Followers draw their
# distances, so that a majority doesn't stop at once, and a leader, on which
# callers wait, takes fewer.
SNAPSHOT_SPREAD: Final = 0.25
LEADER_DISTANCE: Final = 4
# The first entry stands before all elections.
_FORMING_TERM: Final = 0


class Host(Protocol):
    """What an engine needs from its surroundings."""

    def post(self, envelope: core_state.Envelope) -> None:
        """Sends a message; it may be lost."""
        ...

    def request_sync(self) -> None:
        """Asks for a call of `Engine.sync` after messages were sent."""
        ...

    def applied_entry(self, index: int, results: list[commands.Result]) -> None:
        """Called after each applied entry; empty results without commands."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """When snapshots are taken and old entries are removed.

    Attributes:
        snapshot_entries: Applied entries between two snapshots, on average.
        segment_bytes: Size of one file of the log.
        retention_bytes: Size of the log above which old files are removed.
    """

    snapshot_entries: int = 4096
    segment_bytes: int = log_store.SEGMENT_BYTES
    retention_bytes: int = 16 * 1024**3


class Engine:
    """The synchronous part of one replica.

    Attributes:
        id: ID from the data folder.
        folder: The data folder.
        machine: State after all applied entries.
        host: Network and scheduling.
        limits: When snapshots are taken and old entries are removed.
        log: The stored entries.
        snapshots: The stored snapshots.
        core: The consensus core.
        applied_index: Index of the newest applied entry.
    """

    def __init__(
        self,
        *,
        folder: files.Folder,
        machine: machine.Machine,
        host: Host,
        group: str,
        address: str,
        rng: random.Random,
        now: int,
        last_leader_contact_ms: int,
        limits: Limits | None = None,
        timing: core_state.Timing | None = None,
    ) -> None:
        self.id = hard_state.open_identity(folder)
        self.folder = folder
        self.machine = machine
        self.host = host
        self.limits = limits or Limits()
        self.log = log_store.LogStore(
            folder=folder, segment_bytes=self.limits.segment_bytes
        )
        self.snapshots = snapshot_store.SnapshotStore(folder=folder)
        self.applied_index = 0
        self._shorten_due = False
        self._rng = rng
        self._snapshot_distance = self._draw_distance()
        members = self._open_snapshot()
        self.core = consensus.Core(
            replica_id=self.id,
            group=group,
            address=address,
            log=self.log,
            snapshots=self.snapshots,
            saved=hard_state.load(folder),
            members=members,
            commit=self.applied_index,
            rng=rng,
            now=now,
            last_leader_contact_ms=last_leader_contact_ms,
            timing=timing,
        )

    # --- Inputs --------------------------------------------------------------

    def step(self, step: Callable[[], object]) -> None:
        """Runs one input of the core and does what the core asks for."""
        if self.core.halted:
            return
        try:
            step()
            self._store_and_send()
        except errors.StorageError as err:
            self.halt(err)

    def sync(self, now: int) -> None:
        """Makes the log durable and acknowledges what waited for that."""

        def sync() -> None:
            self.log.sync()
            self.core.log_synced(now)

        self.step(sync)
        if self._shorten_due:
            self.step(self._shorten_log)

    def form(self, members: members_protocol.Members, now: int) -> None:
        """Starts a group; its first entry is durable before it is sent."""

        def form() -> None:
            payload = members_protocol.CODEC.encode(members)
            entry = messages.LogEntry(
                term=_FORMING_TERM,
                index=1,
                kind=messages.KIND_MEMBERS,
                payload=payload,
            )
            self.core.form(entry, now)
            self.log.sync()

        self.step(form)

    def apply(self, limit: int) -> bool:
        """Applies up to `limit` committed entries; returns whether any wait."""
        entries: list[messages.LogEntry] = []
        commit = self.core.state.commit
        if commit > self.applied_index:
            # Reading writes staged entries first, so it may fail as well.
            try:
                entries = self.log.read(
                    self.applied_index + 1, max_bytes=leader_state.APPEND_BYTES
                )
            except errors.StorageError as err:
                self.halt(err)
        for entry in entries[:limit]:
            if self.core.halted or entry.index > commit:
                break
            self._apply_entry(entry)
        return not self.core.halted and commit > self.applied_index

    def halt(self, error: Exception) -> None:
        """Stops taking part until a restart."""
        events.log(events.STORAGE_FAILED, replica=self.id, error=str(error))
        self.core.halt()

    # --- State ---------------------------------------------------------------

    def formed(self) -> bool:
        """Whether this replica knows of a group."""
        return self.log.last_index > 0

    def leads(self) -> bool:
        """Whether it leads and has applied the first entry of its term."""
        led = self.core.leader_state
        return (
            led is not None
            and not led.transferring
            and self.applied_index >= led.term_start
        )

    def lease_valid(self, now: int) -> bool:
        """Whether it may decide, renew and answer reads at `now`."""
        return self.leads() and now < self.core.lease_until(now)

    # --- Work ----------------------------------------------------------------

    def _open_snapshot(self) -> membership.MemberHistory:
        """Restores the newest snapshot; returns the member lists since."""
        snapshot = self.snapshots.load()
        if snapshot is None:
            if self.log.base.index:
                raise errors.StorageError(
                    text="no snapshot covers the removed part of the log",
                    step="open log",
                )
            return membership.MemberHistory(
                base=records.Base(),
                members=members_protocol.Members(),
                stored=self.log.entries(1),
            )
        position = snapshot.position
        if not self._log_continues(position):
            self.log.reset(position)
        self.machine.restore(snapshot.data)
        self.applied_index = position.index
        return membership.MemberHistory(
            base=position,
            members=members_protocol.CODEC.decode(snapshot.members),
            stored=self.log.entries(position.index + 1),
        )

    def _log_continues(self, position: records.Base) -> bool:
        """Whether the log reaches over the position of a snapshot.

        It doesn't if a crash came between storing a snapshot of the leader
        and removing the log before it.
        """
        if position.index < self.log.base.index:
            raise errors.StorageError(
                text="the snapshot ends before the log begins",
                step="open snapshot",
            )
        return (
            position.index <= self.log.last_index
            and self.log.position_at(position.index) == position
        )

    def _store_and_send(self) -> None:
        output = self.core.take_output()
        if output.saved is not None:
            hard_state.save(self.folder, output.saved)
        for envelope in output.messages:
            self.host.post(envelope)
        if output.install is not None:
            self._install(output.install)
        if self.log.synced_index < self.log.last_index:
            self.host.request_sync()

    def _apply_entry(self, entry: messages.LogEntry) -> None:
        results: list[commands.Result] = []
        if entry.kind == messages.KIND_COMMANDS:
            try:
                batch = commands.BATCH_CODEC.decode(entry.payload)
                results = self.machine.apply(entry.index, batch)
            except Exception as err:  # pylint: disable=broad-except
                # The state may differ between replicas from here on.
                events.log(
                    events.APPLY_FAILED, index=entry.index, error=repr(err)
                )
                self.halt(err)
                return
        self.applied_index = entry.index
        self.host.applied_entry(entry.index, results)
        if self._snapshot_due():
            self.step(self._take_snapshot)

    def _snapshot_due(self) -> bool:
        """Whether a snapshot is due of what also the log keeps in a crash."""
        newest = self.snapshots.position
        taken = newest.index if newest is not None else 0
        distance = self._snapshot_distance
        if self.core.leader_state is not None:
            distance *= LEADER_DISTANCE
        return (
            self.applied_index - taken >= distance
            and self.applied_index <= self.log.synced_index
        )

    def _draw_distance(self) -> int:
        spread = self._rng.uniform(1 - SNAPSHOT_SPREAD, 1 + SNAPSHOT_SPREAD)
        return max(1, int(self.limits.snapshot_entries * spread))

    def _take_snapshot(self) -> None:
        index = self.applied_index
        members = self.core.state.members
        self.snapshots.save(
            snapshot_store.Snapshot(
                position=self.log.position_at(index),
                members=members_protocol.CODEC.encode(members.at(index)),
                data=self.machine.snapshot(),
            )
        )
        members.forget_before(index)
        self._snapshot_distance = self._draw_distance()
        events.log(events.SNAPSHOT_WRITTEN, replica=self.id, index=index)
        self._shorten_due = True

    def _shorten_log(self) -> None:
        """Removes one segment that retention doesn't keep."""
        self._shorten_due = self.log.drop_oldest(
            max_bytes=self.limits.retention_bytes,
            covered_index=self.snapshots.oldest_index(),
        )
        if self._shorten_due:
            events.log(
                events.LOG_SHORTENED,
                replica=self.id,
                first_index=self.log.first_index,
                chain=self.log.base.chain.hex(),
            )

    def _install(self, snapshot: snapshot_store.Snapshot) -> None:
        """Replaces state and log by a snapshot of the leader."""
        index = snapshot.position.index
        self.snapshots.save(snapshot)
        self.log.reset(snapshot.position)
        self.machine.restore(snapshot.data)
        self.applied_index = index
        self.core.snapshot_installed(snapshot)
        events.log(events.SNAPSHOT_INSTALLED, replica=self.id, index=index)
        self.host.applied_entry(index, [])
        self._store_and_send()
