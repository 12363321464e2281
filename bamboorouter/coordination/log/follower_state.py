"""Appends the entries of a leader to the log of a follower.

Entries are appended only if the log matches the leader's at the entry before
them: the term and a prefix of the chain hash of that entry are compared.
Conflicting entries were never committed and are replaced.
"""

from typing import Final

from bamboorouter import errors
from bamboorouter.coordination.log import core_state
from bamboorouter.protocol import messages

# Sufficient to detect a diverged log; the whole hash would double the size of a
# heartbeat.
CHAIN_PREFIX_BYTES: Final = 8


class FollowerState:
    """Log replication on a follower.

    Attributes:
        state: Term, log and output of the replica.
    """

    def __init__(self, *, state: core_state.CoreState) -> None:
        self.state = state
        self._pending_reply: messages.AppendReply | None = None

    def append(self, m: messages.AppendRequest) -> None:
        """Handles entries or a heartbeat from the leader of this term.

        Raises:
            StorageError: The log can't be read or truncated, or an entry
                committed here differs from the leader's log.
        """
        state = self.state
        m = self._skip_committed(m)
        if not self._log_matches(m):
            hint = self._match_hint(m)
            state.send(m.leader, self._make_reply(m, match=hint, success=False))
            return
        self._append_entries(m.entries)
        matched = m.prev_index + len(m.entries)
        state.commit = max(state.commit, min(m.commit, matched))
        self._acknowledge(self._make_reply(m, match=matched, success=True))

    def reject(self, m: messages.AppendRequest) -> None:
        """Rejects a request of an earlier term.

        The reply contains the current term, so that the sender steps down.
        """
        self.state.send(m.leader, self._make_reply(m, match=0, success=False))

    def log_synced(self) -> None:
        """Sends the acknowledgement that waited for the completed sync."""
        if self._pending_reply is not None:
            self._acknowledge(self._pending_reply)

    def drop_pending_reply(self) -> None:
        """Discards the pending acknowledgement after a change of term or log."""
        self._pending_reply = None

    def _acknowledge(self, reply: messages.AppendReply) -> None:
        """Sends an acknowledgement now if its entries are synced, else later.

        Of several acknowledgements that wait for a sync, only the one with the
        highest index is kept.
        """
        pending = self._pending_reply
        synced = self.state.log.synced_index
        if reply.match_index > synced:
            if pending is None or reply.match_index >= pending.match_index:
                self._pending_reply = reply
            return
        if pending is not None and pending.match_index <= synced:
            self._pending_reply = None
        self.state.send(self.state.leader, reply)

    def _skip_committed(
        self, m: messages.AppendRequest
    ) -> messages.AppendRequest:
        """Removes entries that are committed here from the request.

        The leader's log contains every committed entry.
        """
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

    def _log_matches(self, m: messages.AppendRequest) -> bool:
        """Whether this log contains the entry that precedes the sent ones."""
        if m.prev_index > self.state.log.last_index:
            return False
        position = self.state.log.position_at(m.prev_index)
        return (
            position.term == m.prev_term
            and position.chain[:CHAIN_PREFIX_BYTES] == m.prev_chain
        )

    def _match_hint(self, m: messages.AppendRequest) -> int:
        """Returns the highest index at which the logs may match.

        Skips all entries of the term that conflicts, so that the leader needs
        one message per term and not one per entry.

        Raises:
            StorageError: The conflicting entry is committed here.
        """
        log = self.state.log
        if m.prev_index > log.last_index:
            return log.last_index
        if m.prev_index <= self.state.commit:
            raise errors.StorageError(
                text=f"committed entry {m.prev_index} differs from the leader's log",
                step="append",
                peer=m.leader_address,
            )
        index = m.prev_index - 1
        term = log.term_at(m.prev_index)
        while index > self.state.commit and log.term_at(index) == term:
            index -= 1
        return index

    def _append_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
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
        self._pending_reply = None

    def _make_reply(
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
