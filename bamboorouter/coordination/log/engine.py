"""Combines consensus core, storage and state machine of one replica.

After each input of the core the engine performs the requested actions: it saves
term and vote, writes the log and sends messages. The host provides time, network
and the scheduling of syncs, so that a test can control all three.

A failed write or sync halts the replica. The content of the disk is unknown from
then on, so the replica acknowledges nothing more. A new engine has to read the
folder again and makes durable what it has read before it acknowledges anything.
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
from bamboorouter.coordination.log import election_log
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import membership
from bamboorouter.coordination.log import state_bound
from bamboorouter.protocol import commands
from bamboorouter.protocol import membership as members_protocol
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import machine
from bamboorouter.state import records
from bamboorouter.state import snapshot_store
from bamboorouter.transport import files

# A snapshot of 50,000 keys blocks the event loop for 0.3 s. Each replica draws
# its interval between snapshots, so that a majority doesn't block at the same
# time. A leader takes snapshots less often, because callers wait for it.
SNAPSHOT_JITTER: Final = 0.25
LEADER_INTERVAL_FACTOR: Final = 4
LEADER_BYTES_FACTOR: Final = 2
# The log keeps the entries after the older of two snapshots. Two intervals of a
# leader, a segment and an entry are smaller than the retention size.
_INTERVALS_PER_RETENTION: Final = 8
_SEGMENTS_PER_RETENTION: Final = 8
# Time between two snapshots that only measure the state.
MEASURE_PERIOD_MS: Final = 2000
# A restart applies the entries after the newest snapshot again.
MAX_SNAPSHOT_LOG_BYTES: Final = 64 * 1024 * 1024
# Term of the first entry, which precedes all elections.
_FORMATION_TERM: Final = 0


class Host(Protocol):
    """Network and scheduling that an engine requires."""

    def post(self, envelope: core_state.Envelope) -> None:
        """Sends a message, which may be lost."""
        ...

    def request_sync(self) -> None:
        """Schedules a call of `Engine.sync` after the messages are sent."""
        ...

    def applied_entry(self, index: int, results: list[commands.Result]) -> None:
        """Handles an applied entry.

        Args:
            index: Index of the entry.
            results: Results of its commands; empty if it has none.
        """
        ...


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits for snapshots and log retention.

    A snapshot is taken after a number of applied entries or after a number of
    bytes, whichever comes first: entries can be of any size up to the limit of a
    command.

    Attributes:
        snapshot_entries: Applied entries between two snapshots, on average.
        snapshot_log_bytes: Size of the applied entries between two snapshots,
            on average.
        segment_bytes: Size of one segment file of the log; a larger entry has a
            segment of its own.
        retention_bytes: Size of the log; old segments are removed before it is
            reached.
        max_state_bytes: Largest size of a snapshot; 0 if it isn't limited.
    """

    snapshot_entries: int = 4096
    snapshot_log_bytes: int = MAX_SNAPSHOT_LOG_BYTES
    segment_bytes: int = log_store.SEGMENT_BYTES
    retention_bytes: int = 16 * 1024**3
    max_state_bytes: int = 0

    @classmethod
    def within(
        cls,
        retention_bytes: int,
        *,
        snapshot_entries: int,
        disk_bytes: int = 0,
    ) -> "Limits":
        """Returns limits with which log and snapshots keep their sizes.

        No entry may be larger than a segment.

        Args:
            retention_bytes: Largest size of the log.
            snapshot_entries: Applied entries between two snapshots.
            disk_bytes: Size of the disk; 0 if it isn't known.
        """
        segment_bytes = min(
            retention_bytes // _SEGMENTS_PER_RETENTION,
            log_store.SEGMENT_BYTES,
        )
        return cls(
            snapshot_entries=snapshot_entries,
            snapshot_log_bytes=min(
                retention_bytes // _INTERVALS_PER_RETENTION,
                MAX_SNAPSHOT_LOG_BYTES,
            ),
            segment_bytes=segment_bytes,
            retention_bytes=retention_bytes,
            max_state_bytes=state_bound.max_state_bytes(
                disk_bytes=disk_bytes,
                retention_bytes=retention_bytes,
                segment_bytes=segment_bytes,
            ),
        )


class Engine:
    """The synchronous part of one replica.

    Attributes:
        id: ID from the data folder.
        folder: The data folder.
        machine: State machine with all applied entries.
        host: Network and scheduling.
        limits: Limits for snapshots and log retention.
        log: Log entries in the data folder.
        snapshots: Snapshots in the data folder.
        core: The consensus core.
        applied_index: Index of the newest applied entry.
        failure: Error that halted the replica; None while it isn't halted.
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
        folder.remove_temporary()
        self.id = hard_state.open_identity(folder)
        self.folder = folder
        self.failure: Exception | None = None
        self.machine = machine
        self.host = host
        self.limits = limits or Limits()
        # An attempt on a full disk fails here, before it reads the log, unless
        # the log has segments that can be removed.
        if log_store.stored_bytes(folder) <= self._kept_log_bytes():
            hard_state.reopen(folder)
        self.log = log_store.LogStore(
            folder=folder, segment_bytes=self.limits.segment_bytes
        )
        self.snapshots = snapshot_store.SnapshotStore(folder=folder)
        self.applied_index = 0
        self._retention_due = True
        # Size of the entries applied after the newest snapshot.
        self._unsnapshotted_bytes = 0
        # Size of the newest snapshot, and by how much the state has grown since.
        self._snapshot_bytes = 0
        self._growth_bytes = 0
        self._measured_ms = now - MEASURE_PERIOD_MS
        self._election_log = election_log.ElectionLog(replica=self.id)
        self._rng = rng
        self._interval_factor = self._draw_interval_factor()
        members = self._open_snapshot()
        # Makes room first, because a full disk can't store a copy of anything.
        self._shorten_log()
        saved = hard_state.reopen(folder)
        self.log.make_durable()
        self.core = consensus.Core(
            replica_id=self.id,
            group=group,
            address=address,
            log=self.log,
            snapshots=self.snapshots,
            saved=saved,
            members=members,
            commit=self.applied_index,
            rng=rng,
            now=now,
            last_leader_contact_ms=last_leader_contact_ms,
            timing=timing,
        )

    # --- Inputs --------------------------------------------------------------

    def step(self, step: Callable[[], object]) -> None:
        """Passes one input to the core and performs the requested actions.

        Args:
            step: Passes the input; a StorageError that it raises halts the
                replica.
        """
        if self.core.halted:
            return
        try:
            step()
            self._store_and_send()
        except errors.StorageError as err:
            self.halt(err)

    def sync(self, now: int) -> None:
        """Syncs the log and sends the acknowledgements that waited for it."""

        def sync() -> None:
            self.log.sync()
            self.core.log_synced(now)

        self.step(sync)
        # A leader whose disk is slow applies entries before it has synced them.
        if not self.core.halted and self._snapshot_due():
            self.step(self._take_snapshot)
        if self._retention_due or self.log.total_bytes > self._kept_log_bytes():
            self.step(self._drop_oldest_segment)

    def form(self, members: members_protocol.Members, now: int) -> None:
        """Forms a group; syncs its first entry before sending it."""

        def form() -> None:
            payload = members_protocol.CODEC.encode(members)
            entry = messages.LogEntry(
                term=_FORMATION_TERM,
                index=1,
                kind=messages.KIND_MEMBERS,
                payload=payload,
            )
            self.core.form(entry, now)
            self.log.sync()

        self.step(form)

    def apply(self, limit: int) -> bool:
        """Applies up to `limit` committed entries; returns whether any remain."""
        if self.core.halted:
            return False
        entries: list[messages.LogEntry] = []
        commit = self.core.state.commit
        if commit > self.applied_index:
            # A read first writes the staged entries, which may fail.
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
        """Halts the replica for good; only the first call has an effect.

        Args:
            error: Failure of storage or of the application of an entry.
        """
        if self.failure is not None:
            return
        self.failure = error
        events.log(events.STORAGE_FAILED, replica=self.id, error=str(error))
        self.core.halt()

    def measure_state(self, now: int) -> None:
        """Takes a snapshot if only its size shows how large the state is.

        The estimate counts what commands have added and nothing of what was
        removed. Called when the estimate is too high to accept a command.
        """
        if now - self._measured_ms < MEASURE_PERIOD_MS:
            return
        newest = self.snapshots.position
        taken = newest.index if newest is not None else 0
        if taken < self.applied_index <= self.log.synced_index:
            self._measured_ms = now
            self.step(self._take_snapshot)

    # --- State ---------------------------------------------------------------

    def formed(self) -> bool:
        """Whether the log has the first entry of a group.

        It stays True after the replica was removed from the group.
        """
        return self.log.last_index > 0

    def leads(self) -> bool:
        """Whether this replica leads and has applied its term's first entry."""
        leader = self.core.leader_state
        return (
            leader is not None
            and not leader.transferring
            and self.applied_index >= leader.term_start
        )

    def lease_valid(self, now: int) -> bool:
        """Whether this replica holds the leader's lease at `now`.

        Decisions, renewals and reads require the lease.
        """
        return self.leads() and now < self.core.lease_until(now)

    def state_bytes(self) -> int:
        """Returns an estimate of the size of a snapshot, too high if anything."""
        return self._snapshot_bytes + self._growth_bytes

    # --- Work ----------------------------------------------------------------

    def _open_snapshot(self) -> membership.MemberHistory:
        """Restores the newest snapshot; returns its member list and later ones."""
        snapshot = self.snapshots.load()
        if snapshot is None:
            if self.log.base.index:
                raise errors.StorageError(
                    text="no snapshot covers the removed entries of the log",
                    step="open log",
                )
            return membership.MemberHistory(
                base=records.LogPosition(),
                members=members_protocol.Members(),
                stored=self.log.entries(1),
            )
        position = snapshot.position
        if not self._log_covers(position):
            self.log.reset(position)
        self.machine.restore(snapshot.data)
        self.applied_index = position.index
        self._snapshot_bytes = len(snapshot.data)
        return membership.MemberHistory(
            base=position,
            members=members_protocol.CODEC.decode(snapshot.members),
            stored=self.log.entries(position.index + 1),
        )

    def _log_covers(self, position: records.LogPosition) -> bool:
        """Whether the log contains the last entry of a snapshot.

        It doesn't after a crash between saving a snapshot from the leader and
        resetting the log.
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
        for note in output.notes:
            self._election_log.record(note)
        if output.install is not None:
            self._install(output.install)
        if self.log.synced_index < self.log.last_index:
            self.host.request_sync()

    def _apply_entry(self, entry: messages.LogEntry) -> None:
        results: list[commands.Result] = []
        batch: tuple[commands.Command, ...] = ()
        if entry.kind == messages.KIND_COMMANDS:
            try:
                decoded = commands.BATCH_CODEC.decode(entry.payload)
                batch = decoded.commands
                results = self.machine.apply(entry.index, decoded)
            except Exception as err:  # pylint: disable=broad-except
                # The state may differ between replicas after a partial apply.
                events.log(
                    events.APPLY_FAILED, index=entry.index, error=repr(err)
                )
                self.halt(err)
                return
        self.applied_index = entry.index
        self._unsnapshotted_bytes += (
            len(entry.payload) + records.ENTRY_OVERHEAD_BYTES
        )
        self._growth_bytes += state_bound.added_by_batch(
            batch, size=len(entry.payload)
        )
        self.host.applied_entry(entry.index, results)
        if self._snapshot_due():
            self.step(self._take_snapshot)

    def _snapshot_due(self) -> bool:
        """Whether a snapshot is due.

        Entries that aren't synced are left out: the log would lose them in a
        crash and begin after the snapshot.
        """
        if self.applied_index > self.log.synced_index:
            return False
        newest = self.snapshots.position
        taken = newest.index if newest is not None else 0
        entries = self.limits.snapshot_entries * self._interval_factor
        size = self.limits.snapshot_log_bytes * self._interval_factor
        if self.core.leader_state is not None:
            entries *= LEADER_INTERVAL_FACTOR
            size *= LEADER_BYTES_FACTOR
        return (
            self.applied_index - taken >= max(1, int(entries))
            or self._unsnapshotted_bytes >= size
        )

    def _draw_interval_factor(self) -> float:
        return self._rng.uniform(1 - SNAPSHOT_JITTER, 1 + SNAPSHOT_JITTER)

    def _take_snapshot(self) -> None:
        index = self.applied_index
        members = self.core.state.members
        data = self.machine.snapshot()
        self.snapshots.save(
            snapshot_store.Snapshot(
                position=self.log.position_at(index),
                members=members_protocol.CODEC.encode(members.at(index)),
                data=data,
            )
        )
        members.forget_before(index)
        self._measured(len(data))
        self._interval_factor = self._draw_interval_factor()
        events.log(events.SNAPSHOT_WRITTEN, replica=self.id, index=index)
        self._retention_due = True

    def _measured(self, snapshot_bytes: int) -> None:
        """Records the size of a snapshot that contains all applied entries."""
        self._snapshot_bytes = snapshot_bytes
        self._growth_bytes = 0
        self._unsnapshotted_bytes = 0

    def _shorten_log(self) -> None:
        """Removes the segments that the retention size no longer keeps."""
        while self._retention_due:
            self._drop_oldest_segment()
        self._retention_due = True

    def _drop_oldest_segment(self) -> None:
        """Removes the oldest segment if the log is too large.

        Removes one segment after each sync until the log is small enough.
        """
        self._retention_due = self.log.remove_oldest_segment(
            max_bytes=self._kept_log_bytes(),
            covered_index=self.snapshots.oldest_index(),
        )
        if self._retention_due:
            events.log(
                events.LOG_SHORTENED,
                replica=self.id,
                first_index=self.log.first_index,
                chain=self.log.base.chain.hex(),
            )

    def _kept_log_bytes(self) -> int:
        """Returns the size up to which the log is kept.

        The log stays below the retention size while it grows by one segment.
        """
        return self.limits.retention_bytes - self.limits.segment_bytes

    def _install(self, snapshot: snapshot_store.Snapshot) -> None:
        """Replaces state machine and log with a snapshot from the leader."""
        index = snapshot.position.index
        self.snapshots.save(snapshot)
        self.log.reset(snapshot.position)
        self.machine.restore(snapshot.data)
        self.applied_index = index
        self._measured(len(snapshot.data))
        self.core.snapshot_installed(snapshot)
        events.log(events.SNAPSHOT_INSTALLED, replica=self.id, index=index)
        self.host.applied_entry(index, [])
        self._store_and_send()
