"""An exhaustive search of a small model of membership changes.

The model keeps what decides the safety of a log whose members change: terms,
logs, acknowledgements and commit indexes. Each change is selected by
`policies.member_repair` and validated by `log.member_changes`. Timing is left
out and every order of these steps is searched:

- An election: a replica gets the votes of a majority of its own list. Voters
  that aren't needed keep their term, like frozen replicas and ones cut off.
- A delivery: a replica receives any prefix of what the leader of any term has
  sent, however late, also after that leader was deposed or lost.
- A change: the leader takes any set of members for silent, whether or not they
  are.
- A loss of a replica with its disk, and a successor that joins at the same or at
  another address.
- A loss of a disk at any moment, also between two changes or while other
  replicas are frozen or cut off, up to the number of losses that the group
  tolerates.

An entry counts as committed as soon as a majority has it, whether or not the
leader knows. Checked in every state: no two leaders commit different entries, and
a leader elected later has every committed entry. Checked at each change: majorities of
the lists before and after overlap, and a majority of the later one answers. If
disks are lost at any moment, checked in every state as well: the replicas that
still have their disks can elect a leader.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import gc
import itertools
from typing import cast

from bamboorouter import errors
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import member_changes
from bamboorouter.coordination.policies import member_repair
from bamboorouter.protocol import membership

# Term of an entry and its member list; None for another entry.
Entry = tuple[int, "MemberList | None"]
Log = tuple[Entry, ...]
_NOW_MS = 10 * member_repair.FORGET_AFTER_MS
_SILENT_MS = member_repair.LOST_AFTER_MS + 1


@dataclasses.dataclass(frozen=True, eq=False)
class MemberList:
    """A member list; equal lists are one object, which hashes fast."""

    members: membership.Members


@functools.cache
def _intern(members: membership.Members) -> MemberList:
    return MemberList(members)


class ViolationError(AssertionError):
    """A safety property of membership changes was violated."""


class EndedError(ViolationError):
    """No replica that still has its disk can be elected."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits of the search.

    Attributes:
        replicas: Number of replicas at the start.
        tolerated: Number of losses that the group tolerates.
        terms: Number of elections, the first one included.
        changes: Number of membership changes in any log.
        losses: Number of replicas lost one after the other, each once every
            committed entry would outlive its loss.
        wiped: Number of disks lost at any moment, without a successor; at most
            `tolerated`, and 0 if `losses` isn't.
    """

    replicas: int
    tolerated: int
    terms: int
    changes: int
    losses: int
    wiped: int = 0

    def __post_init__(self) -> None:
        if self.wiped > self.tolerated or (self.wiped and self.losses):
            raise ValueError(f"more losses than the group tolerates: {self}")


@dataclasses.dataclass(frozen=True)
class Replica:
    """A replica; its log is empty after it was lost."""

    log: Log
    term: int
    lost: bool = False


@dataclasses.dataclass(frozen=True)
class Leader:
    """A leader: what it has sent in its term and what it knows."""

    id: int
    log: Log
    acknowledged: tuple[int, ...]
    commit: int


@dataclasses.dataclass(frozen=True)
class State:
    """All replicas, the leaders of all terms from 1 on, and what is committed."""

    replicas: tuple[Replica, ...]
    leaders: tuple[Leader, ...]
    committed: Log


def search(bounds: Bounds) -> int:
    """Visits every state within the bounds; returns their number.

    Raises:
        ViolationError: A safety property was violated.
    """
    start = _first_state(bounds)
    visited = {start}
    pending = [start]
    with _without_garbage_collection():
        while pending:
            for successor in _successors(pending.pop(), bounds):
                state = _forget_unused(_commit(successor))
                if state not in visited:
                    if bounds.wiped:
                        _check_not_ended(state)
                    visited.add(state)
                    pending.append(state)
    return len(visited)


@contextlib.contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """The collector would traverse all visited states again and again."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _first_state(bounds: Bounds) -> State:
    """A group that has formed; the replicas beyond its voters are learners."""
    voters = member_repair.wanted_voters(bounds.replicas, bounds.tolerated)
    members = membership.Members(
        members=tuple(
            membership.Member(id=str(n), address=str(n), voter=n < voters)
            for n in range(bounds.replicas)
        )
    )
    log: Log = ((0, _intern(members)),)
    # Each lost replica may have a successor.
    count = bounds.replicas + bounds.losses
    return State(
        replicas=tuple(
            Replica(log=log if n < bounds.replicas else (), term=0)
            for n in range(count)
        ),
        leaders=(),
        committed=log,
    )


def _successors(state: State, bounds: Bounds) -> Iterator[State]:
    if len(state.leaders) < bounds.terms:
        yield from _elections(state)
    yield from _deliveries(state)
    yield from _changes(state, bounds)
    yield from _losses(state, bounds)


def _list_of(log: Log) -> membership.Members:
    return next(
        (stored.members for _, stored in reversed(log) if stored is not None),
        membership.Members(),
    )


def _changed_length(log: Log) -> int:
    """Returns the length of the log up to its newest member list."""
    return next(
        (n for n in range(len(log), 0, -1) if log[n - 1][1] is not None), 0
    )


def _last_position(log: Log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def _with_replica(state: State, number: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[number] = replica
    return dataclasses.replace(state, replicas=tuple(replicas))


def _with_leader(state: State, term: int, leader: Leader) -> State:
    leaders = list(state.leaders)
    leaders[term - 1] = leader
    return dataclasses.replace(state, leaders=tuple(leaders))


def _elections(state: State) -> Iterator[State]:
    term = len(state.leaders) + 1
    for number, candidate in enumerate(state.replicas):
        if not _may_campaign(state, number):
            continue
        for votes in itertools.combinations(
            _granting(state, number), _needed_votes(candidate, number)
        ):
            yield _elected(state, term, number, votes)


def _may_campaign(state: State, number: int) -> bool:
    replica = state.replicas[number]
    listed = _list_of(replica.log).find(str(number)) is not None
    return not replica.lost and listed


def _needed_votes(candidate: Replica, number: int) -> int:
    """Returns the number of votes of others; a learner has none of its own."""
    members = _list_of(candidate.log)
    return members.quorum() - members.is_voter(str(number))


def _granting(state: State, number: int) -> list[int]:
    """Returns the other voters in a replica's list that would vote for it."""
    candidate = state.replicas[number]
    return [
        int(voter)
        for voter in _list_of(candidate.log).voters()
        if int(voter) != number
        and not state.replicas[int(voter)].lost
        and _last_position(state.replicas[int(voter)].log)
        <= _last_position(candidate.log)
    ]


def _elected(
    state: State, term: int, number: int, votes: tuple[int, ...]
) -> State:
    log = (*state.replicas[number].log, (term, None))
    if log[: len(state.committed)] != state.committed:
        raise ViolationError(f"the leader of term {term} lacks entries: {log}")
    for voter in votes:
        replica = state.replicas[voter]
        state = _with_replica(
            state, voter, dataclasses.replace(replica, term=term)
        )
    state = _with_replica(state, number, Replica(log=log, term=term))
    leader = Leader(
        id=number, log=log, acknowledged=(0,) * len(state.replicas), commit=1
    )
    return dataclasses.replace(state, leaders=(*state.leaders, leader))


def _deliveries(state: State) -> Iterator[State]:
    for term, leader in enumerate(state.leaders, start=1):
        for number, replica in enumerate(state.replicas):
            listed = _list_of(leader.log).find(str(number)) is not None
            if number == leader.id or replica.lost or replica.term > term:
                continue
            if not listed:
                continue
            for length in range(1, len(leader.log) + 1):
                yield _delivered(state, term, number, length)


def _delivered(state: State, term: int, number: int, length: int) -> State:
    leader, replica = state.leaders[term - 1], state.replicas[number]
    sent = leader.log[:length]
    # A late message whose entries are all there truncates nothing.
    log = replica.log if replica.log[:length] == sent else sent
    state = _with_replica(state, number, Replica(log=log, term=term))
    acknowledged = list(leader.acknowledged)
    acknowledged[number] = max(acknowledged[number], length)
    return _with_leader(
        state,
        term,
        dataclasses.replace(leader, acknowledged=tuple(acknowledged)),
    )


def _acting_leaders(state: State) -> Iterator[tuple[int, Leader]]:
    """Yields the leaders that don't know of a later term."""
    for term, leader in enumerate(state.leaders, start=1):
        replica = state.replicas[leader.id]
        if not replica.lost and replica.term == term:
            yield term, leader


def _commit(state: State) -> State:
    """Advances the commit index of each leader as far as a majority has acked."""
    for term, leader in _acting_leaders(state):
        members = _list_of(leader.log)
        matches = sorted(
            (
                len(leader.log)
                if int(voter) == leader.id
                else leader.acknowledged[int(voter)]
                for voter in members.voters()
            ),
            reverse=True,
        )
        length = matches[members.quorum() - 1]
        if length <= leader.commit or leader.log[length - 1][0] != term:
            continue
        committed = leader.log[:length]
        shared = min(length, len(state.committed))
        if committed[:shared] != state.committed[:shared]:
            raise ViolationError(
                f"term {term} commits {committed}, not {state.committed}"
            )
        state = dataclasses.replace(
            state, committed=max(committed, state.committed, key=len)
        )
        state = _with_leader(
            state, term, dataclasses.replace(leader, commit=length)
        )
    return state


def _forget_unused(state: State) -> State:
    """Clears what no later step reads, so that fewer states differ.

    A deposed leader's knowledge isn't used, and its entries only while some
    replica still accepts messages of its term.
    """
    lowest = min(
        (r.term for r in state.replicas if not r.lost),
        default=len(state.leaders),
    )
    acting = {term for term, _ in _acting_leaders(state)}
    return dataclasses.replace(
        state,
        leaders=tuple(
            leader
            if term in acting
            else Leader(
                id=leader.id,
                log=leader.log if term >= lowest else (),
                acknowledged=(0,) * len(state.replicas),
                commit=0,
            )
            for term, leader in enumerate(state.leaders, start=1)
        ),
    )


def _changes(state: State, bounds: Bounds) -> Iterator[State]:
    for term, leader in _acting_leaders(state):
        if sum(m is not None for _, m in leader.log) > bounds.changes:
            continue
        members = _list_of(leader.log)
        if not members.is_voter(str(leader.id)):
            # It steps down as soon as it could change members.
            continue
        others = [m.id for m in members.members if int(m.id) != leader.id]
        changed = set(_joins(state, term, leader))
        for count in range(len(others) + 1):
            for silent in itertools.combinations(others, count):
                after = _repaired(term, leader, set(silent), bounds)
                if after is not None:
                    changed.add(after)
        for after in changed:
            _check_overlap(members, after)
            log = (*leader.log, (term, _intern(after)))
            grown = _with_replica(state, leader.id, Replica(log=log, term=term))
            yield _with_leader(
                grown, term, dataclasses.replace(leader, log=log)
            )


def _as_leader_state(
    term: int, leader: Leader, silent: set[str]
) -> leader_state.LeaderState:
    """Returns the leader as membership changes see it."""
    members = _list_of(leader.log)
    term_start = next(
        n for n, (entry, _) in enumerate(leader.log, start=1) if entry == term
    )
    pending = leader.commit < max(term_start, _changed_length(leader.log))
    return cast(
        leader_state.LeaderState,
        LeaderView(
            state=_CoreState(
                id=str(leader.id),
                commit=leader.commit,
                members=_History(current=members),
            ),
            followers={
                m.id: _Follower(
                    match=leader.acknowledged[int(m.id)],
                    acknowledged_ms=_NOW_MS
                    - (_SILENT_MS if m.id in silent else 0),
                )
                for m in members.members
                if int(m.id) != leader.id
            },
            pending=pending,
        ),
    )


def _repaired(
    term: int, leader: Leader, silent: set[str], bounds: Bounds
) -> membership.Members | None:
    """Returns the list after the next change; None if there is none."""
    members = _list_of(leader.log)
    views = [
        member_repair.MemberView(
            id=m.id,
            address=m.address,
            voter=m.voter,
            silent_ms=_SILENT_MS
            if m.id in silent
            else int(int(m.id) != leader.id),
            caught_up=int(m.id) == leader.id
            or len(leader.log) - leader.acknowledged[int(m.id)]
            <= member_changes.MAX_CAUGHT_UP_LAG,
        )
        for m in members.members
    ]
    change = member_repair.next_change(views, tolerated=bounds.tolerated)
    if change is None:
        return None
    leading = _as_leader_state(term, leader, silent)
    try:
        make = {
            "promote": member_changes.promote,
            "demote": member_changes.demote,
            "remove": member_changes.remove,
        }[change.action]
        after = make(leading, replica_id=change.member, now=_NOW_MS)
    except errors.RefusedError:
        return None
    if after is not None:
        answering = sum(voter not in silent for voter in after.voters())
        if answering < after.quorum():
            raise ViolationError(f"no majority answers after {change}")
    return after


def _joins(
    state: State, term: int, leader: Leader
) -> Iterator[membership.Members]:
    """Yields the lists to which a successor of a lost replica is added."""
    members = _list_of(leader.log)
    leading = _as_leader_state(term, leader, set())
    for number, replica in enumerate(state.replicas):
        if replica.lost or replica.log or members.find(str(number)) is not None:
            continue
        addresses = {str(number)} | {
            str(lost) for lost, r in enumerate(state.replicas) if r.lost
        }
        for address in addresses:
            try:
                joined = member_changes.add_learner(
                    leading, replica_id=str(number), address=address
                )
            except errors.RefusedError:
                return
            if joined is not None:
                yield joined
        return


def _check_overlap(
    before: membership.Members, after: membership.Members
) -> None:
    """Checks that a majority of one list always meets one of the other."""
    for one in itertools.combinations(before.voters(), before.quorum()):
        for other in itertools.combinations(after.voters(), after.quorum()):
            if not set(one) & set(other):
                raise ViolationError(f"{one} and {other} don't overlap")


def _check_not_ended(state: State) -> None:
    """Checks that the group can go on once all replicas with disks are back.

    A leader that wins an election can send its log to those that voted for it,
    and so commit an entry of its term.
    """
    if not any(
        len(_granting(state, number)) >= _needed_votes(replica, number)
        for number, replica in enumerate(state.replicas)
        if _may_campaign(state, number)
    ):
        raise EndedError(f"no replica can win an election:\n{_describe(state)}")


def _describe(state: State) -> str:
    """Returns the logs in a short form, with learners in parentheses."""

    def shown(log: Log) -> str:
        return " ".join(
            f"{term}:"
            + (
                "entry"
                if stored is None
                else "".join(
                    m.id if m.voter else f"({m.id})"
                    for m in stored.members.members
                )
            )
            for term, stored in log
        )

    return "\n".join(
        (
            *(
                f"replica {n}: {'lost' if r.lost else shown(r.log)}"
                for n, r in enumerate(state.replicas)
            ),
            *(
                f"leader of term {term}: {leader.id}, {shown(leader.log)}"
                for term, leader in enumerate(state.leaders, start=1)
            ),
            f"committed: {shown(state.committed)}",
        )
    )


def _losses(state: State, bounds: Bounds) -> Iterator[State]:
    lost = sum(replica.lost for replica in state.replicas)
    if lost >= bounds.wiped and (lost >= bounds.losses or not _restored(state)):
        return
    for number, replica in enumerate(state.replicas):
        if not replica.lost and replica.log:
            yield _with_replica(
                state,
                number,
                Replica(log=(), term=replica.term, lost=True),
            )


def _restored(state: State) -> bool:
    """Whether every committed entry would outlive one more loss.

    More losses at once than the group tolerates lose entries by the count of
    copies, whatever the members are.
    """
    members = _list_of(state.committed)
    holders = sum(
        not state.replicas[int(voter)].lost
        and state.replicas[int(voter)].log[: len(state.committed)]
        == state.committed
        for voter in members.voters()
    )
    return holders > len(members.voters()) - members.quorum() + 1 or not any(
        replica.lost for replica in state.replicas
    )


@dataclasses.dataclass(frozen=True)
class _Follower:
    match: int
    acknowledged_ms: int


@dataclasses.dataclass(frozen=True)
class _History:
    current: membership.Members


@dataclasses.dataclass(frozen=True)
class _CoreState:
    id: str
    commit: int
    members: _History


@dataclasses.dataclass(frozen=True)
class LeaderView:
    """The parts of a leader's state that membership changes read."""

    state: _CoreState
    followers: dict[str, _Follower]
    pending: bool

    def may_change_members(self) -> bool:
        return not self.pending
