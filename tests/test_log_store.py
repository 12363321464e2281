"""Tests the storage of the log, of snapshots and of the hard state.

Guards against lost, changed or reordered entries after crashes and damage.
"""

import random
import unittest

from bamboorouter import errors
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import records
from bamboorouter.state import snapshot_store
from tests import memory_folder

SEGMENT_BYTES = 1500


def entry(index: int, *, term: int = 1, size: int = 20) -> messages.LogEntry:
    payload = f"{index}:{term}:".encode().ljust(size, b".")
    return messages.LogEntry(
        term=term, index=index, kind=messages.KIND_COMMANDS, payload=payload
    )


class LogStoreTest(unittest.TestCase):
    """The log after restarts, crashes, full disks and damage."""

    def setUp(self) -> None:
        self.folder = memory_folder.MemoryFolder()
        self.store = self.open()

    def open(self) -> log_store.LogStore:
        opened = log_store.LogStore(
            folder=self.folder, segment_bytes=SEGMENT_BYTES
        )
        opened.make_durable()
        return opened

    def append_synced(self, count: int) -> None:
        for index in range(1, count + 1):
            self.store.append(entry(index))
        self.store.sync()

    def stored(self, store: log_store.LogStore) -> list[messages.LogEntry]:
        return [item.entry for item in store.entries(store.first_index)]

    def test_random_use_equals_a_list_over_crashes(self) -> None:
        rng = random.Random(7)
        model: list[messages.LogEntry] = []
        max_files = 0
        for _ in range(5000):
            action = rng.random()
            if action < 0.6:
                item = entry(
                    len(model) + 1,
                    term=rng.randint(1, 9),
                    size=rng.randint(8, 300),
                )
                self.store.append(item)
                model.append(item)
            elif action < 0.75:
                self.store.write()
            elif action < 0.93:
                self.store.sync()
            elif action < 0.96 and model:
                last_index = rng.randint(max(0, len(model) - 20), len(model))
                self.store.truncate(last_index)
                del model[last_index:]
            else:
                synced = self.store.synced_index
                self.folder.crash(rng)
                self.store = self.open()
                # Synced entries survive; entries after them may.
                self.assertGreaterEqual(self.store.last_index, synced)
                del model[self.store.last_index :]
            max_files = max(max_files, len(self.folder.names()))
            if model:
                index = rng.randint(1, len(model))
                self.assertEqual(
                    self.store.stored_at(index).entry, model[index - 1]
                )
        self.assertEqual(self.stored(self.store), model)
        # Truncations and crashes were tested with several segments.
        self.assertGreater(max_files, 5)

    def test_torn_tail_is_cut_and_logged(self) -> None:
        self.append_synced(10)
        name = self.folder.names()[-1]
        intact_bytes = len(self.folder.files[name].data)
        self.store.append(entry(11))
        self.store.sync()
        del self.folder.files[name].data[intact_bytes + 30 :]
        with self.assertLogs("absl", "WARNING") as logs:
            reopened = self.open()
        self.assertEqual(reopened.last_index, 10)
        self.assertEqual(len(self.folder.files[name].data), intact_bytes)
        self.assertIn("torn_tail_cut", logs.output[0])
        self.assertIn(f"offset={intact_bytes}", logs.output[0])

    def test_loss_of_power_between_syncs_leaves_a_log_that_opens(self) -> None:
        """Guards against a replica that can't start after a power loss.

        Of several writes after the last sync, the disk may keep a later one and
        lose an earlier one.
        """
        for seed in range(200):
            rng = random.Random(seed)
            folder = memory_folder.MemoryFolder()
            store = log_store.LogStore(folder=folder)
            synced = 0
            for index in range(1, 12):
                store.append(entry(index))
                if rng.random() < 0.6:
                    store.write()
                if rng.random() < 0.3:
                    store.sync()
                    synced = index
            folder.lose_power(rng)
            with self.subTest(seed=seed):
                opened = log_store.LogStore(folder=folder)
                self.assertGreaterEqual(opened.last_index, synced)

    def test_damage_before_a_whole_record_is_refused(self) -> None:
        self.append_synced(10)
        name = self.folder.names()[-1]
        offset = records.SEGMENT_HEADER_BYTES
        record_bytes = len(records.pack_entry(self.store.stored_at(1)))
        self.folder.files[name].data[offset + 3 * record_bytes + 40] ^= 1
        with self.assertRaises(errors.StorageError) as caught:
            self.open()
        self.assertIn(
            f"offset {offset + 3 * record_bytes} ", caught.exception.text
        )
        self.assertEqual(caught.exception.peer, name)

    def test_damage_at_the_end_of_a_sealed_segment_is_refused(self) -> None:
        self.append_synced(50)
        name = self.folder.names()[0]
        del self.folder.files[name].data[-5:]
        with self.assertRaisesRegex(errors.StorageError, name):
            self.open()

    def test_missing_segment_is_refused(self) -> None:
        self.append_synced(80)
        del self.folder.files[self.folder.names()[1]]
        with self.assertRaisesRegex(errors.StorageError, "continue"):
            self.open()

    def test_rewritten_record_breaks_the_chain(self) -> None:
        self.append_synced(10)
        name = self.folder.names()[0]
        data = self.folder.files[name].data
        original = self.store.stored_at(5)
        forged = records.StoredEntry(
            messages.LogEntry(
                term=1,
                index=5,
                kind=messages.KIND_COMMANDS,
                payload=b"x" * len(original.entry.payload),
            ),
            original.chain,
        )
        position = data.find(records.pack_entry(original))
        packed = records.pack_entry(forged)
        data[position : position + len(packed)] = packed
        with self.assertRaisesRegex(errors.StorageError, f"offset {position}"):
            self.open()

    def test_reset_discards_a_segment_that_was_only_staged(self) -> None:
        """Guards against a replica that halts when it gets a snapshot."""
        self.append_synced(1)
        for index in range(2, 12):
            self.store.append(entry(index, size=SEGMENT_BYTES // 4))
        base = records.LogPosition(index=99, term=3, chain=bytes(32))
        self.store.reset(base)
        self.assertEqual(self.folder.names(), [])
        self.store.append(entry(100, term=3))
        self.store.sync()
        self.assertEqual(self.open().base, base)

    def test_retention_keeps_what_no_snapshot_covers(self) -> None:
        self.append_synced(100)
        self.assertTrue(
            self.store.remove_oldest_segment(max_bytes=2000, covered_index=60)
        )
        self.assertLessEqual(self.store.first_index, 61)
        self.assertGreater(self.store.first_index, 1)
        chain = self.store.base.chain
        reopened = self.open()
        self.assertEqual(reopened.base.chain, chain)
        self.assertEqual(
            [item.index for item in self.stored(reopened)],
            list(range(reopened.first_index, 101)),
        )

    def test_entries_of_a_failed_write_never_count_as_durable(self) -> None:
        """A read writes buffered entries first, and that write may fail."""
        self.append_synced(3)
        self.store.append(entry(4))
        self.folder.free_bytes = 10
        with self.assertRaises(errors.StorageError):
            self.store.entries(1)
        self.folder.free_bytes = None
        with self.assertRaises(errors.StorageError):
            self.store.sync()
        self.assertEqual(self.store.synced_index, 3)

    def test_entries_of_a_failed_sync_never_count_as_durable(self) -> None:
        """A sync after a failed one may succeed although data is lost."""
        self.append_synced(3)
        self.store.append(entry(4))
        self.folder.failing_sync = True
        with self.assertRaises(errors.StorageError):
            self.store.sync()
        self.folder.failing_sync = False
        with self.assertRaises(errors.StorageError):
            self.store.sync()
        self.assertEqual(self.store.synced_index, 3)

    def test_full_disk_leaves_a_log_that_opens(self) -> None:
        self.append_synced(10)
        self.folder.free_bytes = 50
        self.store.append(entry(11))
        with self.assertRaisesRegex(errors.StorageError, "No space"):
            self.store.sync()
        self.assertEqual(self.store.synced_index, 10)
        self.folder.free_bytes = None
        self.assertEqual(self.open().last_index, 10)

    def test_entries_read_after_a_failed_sync_survive_a_power_failure(
        self,
    ) -> None:
        """Guards against an acknowledgement of what only a cache holds."""
        for seed in range(20):
            self.folder = memory_folder.MemoryFolder()
            self.store = self.open()
            self.append_synced(3)
            self.store.append(entry(4))
            self.folder.failing_sync = True
            with self.assertRaises(errors.StorageError):
                self.store.sync()
            self.folder.failing_sync = False
            synced = self.open().synced_index
            self.folder.lose_power(random.Random(seed))
            self.assertGreaterEqual(self.open().last_index, synced)

    def test_entries_read_after_a_kill_survive_a_power_failure(self) -> None:
        """A killed process leaves its files as they were, synced or not."""
        for seed in range(20):
            self.folder = memory_folder.MemoryFolder()
            self.store = self.open()
            self.append_synced(3)
            self.store.append(entry(4))
            self.store.write()
            synced = self.open().synced_index
            self.folder.lose_power(random.Random(seed))
            self.assertGreaterEqual(self.open().last_index, synced)

    def test_kill_before_a_power_failure_leaves_a_log_that_opens(self) -> None:
        """Two unsynced writes could lose the first and keep the second."""
        for seed in range(20):
            self.folder = memory_folder.MemoryFolder()
            self.store = self.open()
            self.append_synced(3)
            for index in (4, 5):
                self.store.append(entry(index))
                self.store.write()
                self.store = self.open()
            self.store.append(entry(6))
            self.store.write()
            self.folder.lose_power(random.Random(seed))
            self.assertGreaterEqual(self.open().last_index, 5)

    def test_log_that_cannot_be_made_durable_is_not_opened(self) -> None:
        self.append_synced(3)
        self.folder.free_bytes = 10
        with self.assertRaisesRegex(errors.StorageError, "No space"):
            self.open()
        self.folder.free_bytes = None
        self.assertEqual(self.open().last_index, 3)


class HardStateTest(unittest.TestCase):
    """Stored identity, term, vote and snapshots."""

    def setUp(self) -> None:
        self.folder = memory_folder.MemoryFolder()

    def test_identity_and_vote_survive(self) -> None:
        replica_id = hard_state.open_identity(self.folder)
        state = hard_state.HardState(term=4, voted_for="other")
        hard_state.save(self.folder, state)
        self.assertEqual(hard_state.open_identity(self.folder), replica_id)
        self.assertEqual(hard_state.load(self.folder), state)

    def test_lost_identity_or_vote_is_refused(self) -> None:
        hard_state.open_identity(self.folder)
        del self.folder.files["vote"]
        with self.assertRaises(errors.StorageError):
            hard_state.load(self.folder)
        self.folder.append("log-00000000000000000001", b"x")
        del self.folder.files["identity"]
        with self.assertRaisesRegex(errors.StorageError, "no identity"):
            hard_state.open_identity(self.folder)

    def test_vote_read_after_a_failed_save_survives_a_power_failure(
        self,
    ) -> None:
        """Guards against a term or vote that is used and then forgotten."""
        hard_state.open_identity(self.folder)
        self.folder.failing_folder_sync = True
        with self.assertRaises(errors.StorageError):
            hard_state.save(
                self.folder, hard_state.HardState(term=5, voted_for="a")
            )
        self.folder.failing_folder_sync = False
        used = hard_state.reopen(self.folder)
        self.folder.lose_power(random.Random(1))
        self.assertEqual(hard_state.load(self.folder), used)

    def test_damaged_vote_is_refused(self) -> None:
        hard_state.open_identity(self.folder)
        self.folder.files["vote"].data[-1] ^= 1
        with self.assertRaisesRegex(errors.StorageError, "damaged"):
            hard_state.load(self.folder)

    def test_damaged_snapshot_is_passed_over(self) -> None:
        store = snapshot_store.SnapshotStore(folder=self.folder)
        for index in (10, 20, 30):
            store.save(
                snapshot_store.Snapshot(
                    position=records.LogPosition(index=index, term=1),
                    members=b"",
                    data=b"state",
                )
            )
        names = self.folder.names()
        self.assertEqual(len(names), 2)
        self.folder.files[names[-1]].data[-1] ^= 1
        snapshot = store.load()
        assert snapshot is not None
        self.assertEqual(snapshot.position.index, 20)
