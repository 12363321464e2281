"""How a follower takes entries of its leader into its log.

An entry is stored if the log agrees with the leader's up to the entry before.
The log's term and the first bytes of its chain hash at that point are
compared; entries that disagree were never committed and are replaced.
"""

from typing import Final

from bamboorouter import errors
from bamboorouter.coordination.log import core_state
from bamboorouter.protocol import messages

# Enough to tell a diverged log apart; the whole hash would double a heartbeat.
CHAIN_PREFIX_BYTES: Final = 8


class FollowerState:
    """The log of a replica that follows.

    Attributes:
        state: Term, log and output of the replica.
    """

    def __init__(self, *, state: core_state.CoreState) -> None:
        self.state = state
        self._owed: messages.AppendReply | None = None

    def append(self, m: messages.AppendRequest) -> None:
        """Handles entries or a heartbeat of the leader of this term.

        Raises:
            StorageError: The log can't be read or cut, or what is committed
                here differs from the leader's log.
        """
        state = self.state
        m = self._skip_committed(m)
        if not self._agrees(m):
            hint = self._hint(m)
            state.send(m.leader, self._reply(m, match=hint, success=False))
            return
        self._store(m.entries)
        matched = m.prev_index + len(m.entries)
        state.commit = max(state.commit, min(m.commit, matched))
        self._acknowledge(self._reply(m, match=matched, success=True))

    def refuse(self, m: messages.AppendRequest) -> None:
        """Tells the leader of an older term that it was replaced."""
        self.state.send(m.leader, self._reply(m, match=0, success=False))

    def log_synced(self) -> None:
        """Acknowledges what waited for the sync that ended."""
        if self._owed is not None:
            self._acknowledge(self._owed)

    def forget(self) -> None:
        """Owes no acknowledgement any more: term or log changed."""
        self._owed = None

    def _acknowledge(self, reply: messages.AppendReply) -> None:
        """Acknowledges what is synced, at once or after the next sync."""
        owed = self._owed
        synced = self.state.log.synced_index
        if reply.match_index > synced:
            if owed is None or reply.match_index >= owed.match_index:
                self._owed = reply
            return
        if owed is not None and owed.match_index <= synced:
            self._owed = None
        self.state.send(self.state.leader, reply)

    def _skip_committed(
        self, m: messages.AppendRequest
    ) -> messages.AppendRequest:
        """Leaves out what is committed here; the leader holds it as well."""
        commit = self.state.commit
        if m.prev_index >= commit:
            return m
        position = self.state.log.position_at(commit)
        return messages.AppendRequest(
            group=m.group,
            term=m.term,
            leader=m.leader,
            prev_index=position.index,
            prev_term=position.term,
            commit=m.commit,
            sequence=m.sequence,
            entries=tuple(e for e in m.entries if e.index > commit),
            leader_address=m.leader_address,
            prev_chain=position.chain[:CHAIN_PREFIX_BYTES],
        )

    def _agrees(self, m: messages.AppendRequest) -> bool:
        """Whether this log holds the entry before the sent ones."""
        if m.prev_index > self.state.log.last_index:
            return False
        position = self.state.log.position_at(m.prev_index)
        return (
            position.term == m.prev_term
            and position.chain[:CHAIN_PREFIX_BYTES] == m.prev_chain
        )

    def _hint(self, m: messages.AppendRequest) -> int:
        """Returns up to where the logs may agree, after a mismatch."""
        log = self.state.log
        if m.prev_index > log.last_index:
            return log.last_index
        if m.prev_index <= self.state.commit:
            raise errors.StorageError(
                text=f"committed entry {m.prev_index} differs from the leader",
                step="append",
                peer=m.leader_address,
            )
        index = m.prev_index - 1
        term = log.term_at(m.prev_index)
        while index > self.state.commit and log.term_at(index) == term:
            index -= 1
        return index

    def _store(self, entries: tuple[messages.LogEntry, ...]) -> None:
        log = self.state.log
        for entry in entries:
            if entry.index <= log.last_index:
                if log.term_at(entry.index) == entry.term:
                    continue
                self._truncate(entry.index - 1)
            log.append(entry)
            self.state.members.append(entry)

    def _truncate(self, last_index: int) -> None:
        if last_index < self.state.commit:
            raise errors.StorageError(
                text=f"committed entry {last_index + 1} would be removed",
                step="append",
            )
        self.state.log.truncate(last_index)
        self.state.members.truncate(last_index)
        self._owed = None

    def _reply(
        self, m: messages.AppendRequest, *, match: int, success: bool
    ) -> messages.AppendReply:
        return messages.AppendReply(
            group=self.state.group,
            term=self.state.term,
            follower=self.state.id,
            success=success,
            match_index=match,
            sequence=m.sequence,
            commit=self.state.commit,
        )
