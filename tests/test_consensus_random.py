"""Tests the consensus protocol under random faults.

Guards against lost or differing log entries, two leaders at once and stale
reads. The message of a failure contains the seed; `Simulation(seed=...)`
reproduces the run. Some tests inject a fault into the implementation and expect
the simulation's checks to detect it, which shows that the checks still work.
"""

import dataclasses
import unittest
from unittest import mock

from absl import logging

from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import engine
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.transport import files
from tests import consensus_simulation as simulation

DURATION_MS = 60_000
TIMING = core_state.Timing()
SEEDS = range(8)
ELECTION_SEEDS = range(100, 110)
DISK_SEEDS = range(200, 210)
# Seeds of which at least one has to detect an injected fault.
INJECTED_FAULT_SEEDS = range(200)


class RandomScheduleTest(unittest.TestCase):
    """Simulations with random faults and several seeds."""

    def setUp(self) -> None:
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    def test_promises_hold_while_replicas_fail_and_are_replaced(self) -> None:
        replaced = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = simulation.Simulation(seed=seed)
                cluster.run(DURATION_MS)
                self.assertGreater(len(cluster.acknowledged), 100)
                replaced += cluster.replaced
        # More than two replacements per run on average: groups also lost
        # replicas after an earlier one had been replaced.
        self.assertGreater(replaced, 2 * len(SEEDS))

    def test_promises_hold_during_many_elections(self) -> None:
        for seed in ELECTION_SEEDS:
            with self.subTest(seed=seed):
                cluster = simulation.Simulation(
                    seed=seed, fault_model=simulation.ELECTION_FAULTS
                )
                cluster.run(DURATION_MS)
                self.assertGreater(len(cluster.acknowledged), 100)

    def test_promises_hold_while_disks_fail_and_are_read_again(self) -> None:
        """Guards against unsynced data that counts as durable once reread."""
        reopened = 0
        for seed in DISK_SEEDS:
            with self.subTest(seed=seed):
                cluster = simulation.Simulation(
                    seed=seed, fault_model=simulation.DISK_FAULTS
                )
                cluster.run(DURATION_MS)
                self.assertGreater(len(cluster.acknowledged), 100)
                reopened += cluster.reopened
        self.assertGreater(reopened, 2 * len(DISK_SEEDS))

    def test_promises_hold_while_the_log_is_kept_small(self) -> None:
        """Guards against snapshots after a few entries that lose or split any.

        Each replica takes a snapshot after a few hundred bytes and keeps little
        of its log, so that followers often need a snapshot.
        """
        limits = engine.Limits.within(4096, snapshot_entries=40)
        with mock.patch.object(simulation, "LIMITS", limits):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    cluster = simulation.Simulation(seed=seed)
                    cluster.run(DURATION_MS)
                    self.assertGreater(len(cluster.acknowledged), 100)

    def test_leader_is_elected_again_without_a_wait_after_a_power_loss(
        self,
    ) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = simulation.Simulation(
                    seed=seed, fault_model=simulation.NO_FAULTS
                )
                cluster.run(5000)
                took_ms = cluster.lose_power(1000)
                # One more election attempt and a few round trips and syncs.
                self.assertLess(took_ms, TIMING.retry_max_ms + 150)

    def test_acknowledgement_before_sync_is_caught(self) -> None:
        write = log_store.LogStore.write

        def write_without_sync(store: log_store.LogStore) -> None:
            write(store)
            store.synced_index = store.last_index

        with mock.patch.object(log_store.LogStore, "write", write_without_sync):
            self.assert_detected("acknowledgement before sync")

    def test_forgotten_vote_is_caught(self) -> None:
        save = hard_state.save

        def save_without_vote(
            folder: files.Folder, state: hard_state.HardState
        ) -> None:
            save(folder, hard_state.HardState(term=state.term))

        with mock.patch.object(hard_state, "save", save_without_vote):
            self.assert_detected("vote that is not stored")

    def test_false_claim_of_an_ended_leadership_is_caught(self) -> None:
        load = hard_state.load

        def load_as_leader(folder: files.Folder) -> hard_state.HardState:
            return dataclasses.replace(load(folder), led=True)

        with mock.patch.object(hard_state, "load", load_as_leader):
            self.assert_detected("leadership claimed after its end")

    def assert_detected(self, fault: str) -> None:
        for seed in INJECTED_FAULT_SEEDS:
            cluster = simulation.Simulation(
                seed=seed, fault_model=simulation.ELECTION_FAULTS
            )
            try:
                cluster.run(DURATION_MS)
            except simulation.ViolationError as err:
                print(f"{fault}: detected by seed {seed}: {err}")
                return
            except simulation.NoProgressError:
                continue
        self.fail(f"{fault} was not detected by any seed")
