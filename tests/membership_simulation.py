"""Simulates a group that repairs itself while its replicas are replaced.

Extends the simulation of the log: the leader applies the changes of
`policies.member_repair`, replicas join as the product's do, and a scenario
replaces, wipes, freezes or cuts off replicas at given times.
"""

from collections.abc import Callable
from collections.abc import Collection
import math

from bamboorouter import errors
from bamboorouter.coordination.log import member_changes
from bamboorouter.coordination.log import member_views
from bamboorouter.coordination.log import membership as membership_lists
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.log import self_repair
from bamboorouter.coordination.policies import member_repair
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from tests import consensus_simulation as simulation
from tests import memory_folder

FORMED_MS = 2000
START_MS = 500
PROPOSE_PERIOD_MS = 100
# Several elections and the repair of all members.
SETTLE_MS = 10_000
JOIN_RETRY_MS = 500
VOTES_CHECK_MS = 20
# The product proposes further entries while fewer than this are uncommitted.
MAX_IN_FLIGHT = 4
SATURATED_PERIOD_MS = 1
SATURATED_SYNC_MS = (15, 30)
# Longer than a commit, after which the second change of an exchange follows.
COMMIT_MS = 60


class RepairSimulation(simulation.Simulation):
    """A group in which a learner stands by for `tolerated` losses.

    Attributes:
        tolerated: Number of losses that the group has to tolerate.
        voters_lost: Number of replacements that hit a voter.
    """

    def __init__(
        self, *, seed: int, size: int, tolerated: int, saturated: bool = False
    ) -> None:
        """Forms the group.

        Args:
            seed: Seed of all random choices.
            size: Number of replicas.
            tolerated: Number of losses that the group has to tolerate.
            saturated: Whether entries are always in flight on slow disks.
        """
        self.tolerated = tolerated
        self.voters_lost = 0
        self._saturated = saturated
        self._views = {slot: member_views.MemberViews() for slot in range(size)}
        self._started_ms = dict.fromkeys(range(size), 0.0)
        self._addresses = {slot: f"slot-{slot}" for slot in range(size)}
        super().__init__(seed=seed, size=size, fault_model=simulation.NO_FAULTS)
        if saturated:
            self._every(SATURATED_PERIOD_MS, self._propose_in_flight)
        else:
            self._every(PROPOSE_PERIOD_MS, self._propose)
        self._every(self_repair.CHECK_PERIOD_MS, self._repair)
        self._every(JOIN_RETRY_MS, self._join)
        self._run_until(FORMED_MS)

    def run_for(self, duration_ms: float) -> None:
        """Runs the group for a simulated time in ms."""
        self._run_until(self.time_ms + duration_ms)

    def sync_duration_ms(self) -> float:
        if self._saturated:
            return self.rng.uniform(*SATURATED_SYNC_MS)
        return super().sync_duration_ms()

    def serves(self) -> bool:
        """Whether some replica holds a valid lease."""
        return self._leader() is not None

    def voters(self) -> set[int]:
        """Returns the hosts of the voters in the leader's member list."""
        leader = self._leader()
        assert leader is not None
        assert leader.engine is not None
        members = leader.engine.core.state.members.current
        return {
            node.slot
            for node in self.nodes
            if node.engine is not None and members.is_voter(node.engine.id)
        }

    def role(self, slot: int) -> str:
        """Returns "leader", "follower" or "learner"."""
        leader = self._leader()
        if leader is not None and leader.slot == slot:
            return "leader"
        return "follower" if slot in self.voters() else "learner"

    def leader(self) -> int | None:
        """Returns the host of the leader with a valid lease, if there is one."""
        leader = self._leader()
        return None if leader is None else leader.slot

    def votes_run(self) -> bool:
        """Whether the wanted number of voters is complete and all of them run."""
        leader = self._leader()
        if leader is None or leader.engine is None:
            return False
        members = leader.engine.core.state.members.current
        running = {
            node.engine.id for node in self.nodes if node.engine is not None
        }
        return (
            len(members.voters()) == 2 * self.tolerated + 1
            and set(members.voters()) <= running
        )

    def repaired_after_ms(self, limit_ms: float) -> float:
        """Runs until all votes are with running replicas; returns the time.

        Args:
            limit_ms: Time in ms after which the result is infinite.
        """
        started_ms = self.time_ms
        while not self.votes_run():
            if self.time_ms - started_ms > limit_ms:
                return math.inf
            self.run_for(VOTES_CHECK_MS)
        return self.time_ms - started_ms

    def has_log(self, slot: int) -> bool:
        """Whether a replica has committed what the leader had 200 ms ago."""
        leader = self._leader()
        node = self.nodes[slot]
        assert leader is not None
        assert leader.engine is not None
        assert node.engine is not None
        commit = leader.engine.core.state.commit
        self.run_for(200)
        return node.engine.core.state.commit >= commit

    def settle(self) -> bool:
        """Ends all faults; returns whether a leader commits afterwards."""
        before = len(self.acknowledged)
        self._cuts = {}
        for node in self.nodes:
            node.paused_until = 0
        self.run_for(SETTLE_MS)
        return self.serves() and len(self.acknowledged) > before

    # --- Losses --------------------------------------------------------------

    def replace(self, slot: int, *, moved: bool, after_ms: float) -> None:
        """Loses a replica and its disk for good; an empty one succeeds it.

        Args:
            slot: Host of the replica.
            moved: Whether the successor has another address.
            after_ms: Time in ms until the successor starts.
        """
        node = self.nodes[slot]
        self.voters_lost += self._is_voter(node)
        self._stop(node)
        node.folder = memory_folder.MemoryFolder()
        if moved:
            self._addresses[slot] = f"slot-{slot}-{self.time_ms}"

        def start() -> None:
            self._started_ms[slot] = self.time_ms
            node.stopped_ms = self.time_ms
            self._start(node)

        self.schedule(after_ms + START_MS, start)

    def plan_replacement(self, slot: int, *, notice_ms: float) -> None:
        """Starts the successor of a replica and stops the replica afterwards.

        The replica transfers leadership before it stops, if it leads.

        Args:
            slot: Host of the replica.
            notice_ms: Time in ms from the start of the successor's process to
                the stop of the replica.
        """
        successor = simulation.Node(slot=len(self.nodes), simulation=self)
        self.nodes.append(successor)
        self._views[successor.slot] = member_views.MemberViews()
        self._addresses[successor.slot] = f"slot-{successor.slot}"

        def start() -> None:
            self._started_ms[successor.slot] = self.time_ms
            successor.stopped_ms = self.time_ms
            self._start(successor)

        self.schedule(START_MS, start)
        self.run_for(notice_ms)
        node = self.nodes[slot]
        running = node.engine
        assert running is not None
        if running.core.leader_state is not None:
            running.step(lambda: running.core.transfer(node.now()))
            self._finish_step(node)
            ends_ms = self.time_ms + replica.TRANSFER_TIMEOUT_MS
            while (
                running.core.leader_state is not None and self.time_ms < ends_ms
            ):
                self.run_for(1)
        self._stop(node)
        self._started_ms.pop(slot)

    def lose_power_and_disks(
        self, wiped: Collection[int], *, down_ms: float
    ) -> None:
        """Stops all running replicas at once; some restart with empty disks.

        Also ends all freezes and cuts. Replicas that are down already aren't
        affected, unless their disks are lost, too.

        Args:
            wiped: Hosts whose disks are lost.
            down_ms: Time in ms until the replicas restart.
        """
        stopped = [node for node in self.nodes if node.engine is not None]
        for node in stopped:
            self._stop(node)
        for slot in wiped:
            self.nodes[slot].folder = memory_folder.MemoryFolder()
        self._cuts = {}
        self.run_for(down_ms)
        for node in stopped:
            node.stopped_ms = self.time_ms
            self._start(node)

    def freeze(self, slot: int, duration_ms: float) -> None:
        """Pauses a replica."""
        self.nodes[slot].paused_until = self.time_ms + duration_ms

    def cut(self, slot: int, duration_ms: float) -> None:
        """Cuts a replica off from all others."""
        for other in self.nodes:
            for pair in ((slot, other.slot), (other.slot, slot)):
                self._cuts[pair] = self.time_ms + duration_ms

    def cut_link(self, slot: int, other: int, duration_ms: float) -> None:
        """Cuts the link between two replicas."""
        for pair in ((slot, other), (other, slot)):
            self._cuts[pair] = self.time_ms + duration_ms

    def kill(self, slot: int, duration_ms: float) -> None:
        """Stops a replica that restarts with its disk."""
        node = self.nodes[slot]
        self._stop(node)
        self.schedule(duration_ms, lambda: self._start(node))

    def oldest(self) -> int:
        """Returns the host of the replica that has run for the longest time."""
        return min(self._started_ms, key=lambda slot: self._started_ms[slot])

    # --- Client --------------------------------------------------------------

    def _propose_in_flight(self) -> None:
        """Proposes entries until as many are in flight as the product allows."""
        leader = self._leader()
        if leader is None or leader.engine is None:
            return
        self._check_read(leader)
        running = leader.engine
        while (
            running.core.leader_state is not None
            and running.log.last_index - running.core.state.commit
            < MAX_IN_FLIGHT
        ):
            self._propose_job(leader)

    # --- Changes of an operator ----------------------------------------------

    def promote_all(self) -> None:
        """Proposes a list in which all members vote."""
        members = self._members()
        for learner in (m for m in members.members if not m.voter):
            members = membership_lists.with_voter(
                members, replica_id=learner.id
            )
        self._propose_members(members)

    def demote(self, slot: int) -> None:
        """Proposes a list in which a replica doesn't vote."""
        running = self.nodes[slot].engine
        assert running is not None
        self._propose_members(
            membership_lists.without_vote(
                self._members(), replica_id=running.id
            )
        )

    def _members(self) -> membership.Members:
        leader = self._leader()
        assert leader is not None
        assert leader.engine is not None
        return leader.engine.core.state.members.current

    def _propose_members(self, members: membership.Members) -> None:
        leader = self._leader()
        assert leader is not None
        self._change_members(leader, lambda: members)

    # --- Repair --------------------------------------------------------------

    def _is_voter(self, node: simulation.Node) -> bool:
        running = node.engine
        return running is not None and running.core.state.is_voter()

    def _form(self) -> None:
        """Forms the group from the wanted number of voters; others join."""
        count = member_repair.wanted_voters(len(self.nodes), self.tolerated)
        members = membership.Members(
            members=tuple(
                membership.Member(
                    id=node.engine.id,
                    address=self._addresses[node.slot],
                    voter=True,
                )
                for node in self.nodes[:count]
                if node.engine is not None
            )
        )
        first = self.nodes[0]
        assert first.engine is not None
        first.engine.form(members, first.now())
        self._finish_step(first)

    def _repair(self) -> None:
        """Makes the next changes that the policy selects."""
        for number in range(self_repair.CHANGES_PER_CHECK):
            self.schedule(number * COMMIT_MS, self._make_next_change)

    def _make_next_change(self) -> None:
        leader = self._leader()
        if leader is None or leader.engine is None:
            return
        running = leader.engine
        leading = running.core.leader_state
        assert leading is not None
        now = leader.now()
        followers = leading.followers
        views = self._views[leader.slot].compute(
            running.core.state.members.current.members,
            term=running.core.state.term,
            lag={
                replica_id: running.log.last_index - follower.match
                for replica_id, follower in followers.items()
            },
            silent_ms={
                replica_id: now - follower.acknowledged_ms
                for replica_id, follower in followers.items()
            },
            former_leader_silent_ms=running.core.former_leader_silent_ms(now),
            now=now,
        )
        change = member_repair.next_change(views, tolerated=self.tolerated)
        if change is None:
            return
        make: dict[str, Callable[[], membership.Members | None]] = {
            "promote": lambda: member_changes.promote(
                leading, replica_id=change.member, now=now
            ),
            "demote": lambda: member_changes.demote(
                leading, replica_id=change.member, now=now
            ),
            "remove": lambda: member_changes.remove(
                leading, replica_id=change.member, now=now
            ),
        }
        self._change_members(leader, make[change.action])

    def _join(self) -> None:
        """Lets replicas join that the leader doesn't list or doesn't reach."""
        leader = self._leader()
        if leader is None or leader.engine is None:
            return
        leading = leader.engine.core.leader_state
        assert leading is not None
        for node in self.nodes:
            if node.engine is not None and node.paused_until <= self.time_ms:
                if self._cuts.get((node.slot, leader.slot), 0) > self.time_ms:
                    continue
                joining = node.engine.id
                address = self._addresses[node.slot]
                self._change_members(
                    leader,
                    lambda joining=joining, address=address: (  # type: ignore[misc]
                        member_changes.add_learner(
                            leading, replica_id=joining, address=address
                        )
                    ),
                )

    def _change_members(
        self,
        leader: simulation.Node,
        make: Callable[[], membership.Members | None],
    ) -> None:
        running = leader.engine
        if running is None or running.core.leader_state is None:
            return
        try:
            changed = make()
        except errors.RefusedError:
            return
        if changed is None:
            return
        payload = membership.CODEC.encode(changed)
        running.step(
            lambda: running.core.propose(
                messages.KIND_MEMBERS, payload, leader.now()
            )
        )
        self._finish_step(leader)
