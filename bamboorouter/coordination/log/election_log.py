"""Logs elections, with a bounded number of lines.

A replica that reaches no majority campaigns for as long as that lasts, and each
attempt is refused by the voters that it reaches. So only the first lines of each
kind are logged after a leader was found or lost, and later ones at growing
intervals with the number of those left out.
"""

import dataclasses
from typing import Final

from bamboorouter import events
from bamboorouter.coordination.log import election_notes

FIRST_LINES: Final = 4
MIN_INTERVAL_MS: Final = 1000
MAX_INTERVAL_MS: Final = 10_000


@dataclasses.dataclass(kw_only=True)
class _Lines:
    """The lines of one kind since a leader was found or lost.

    Attributes:
        count: Number of notes.
        left_out: Number of notes since the last line.
        logged_ms: Time of the last line in ms.
        interval_ms: Shortest time in ms until the next line.
    """

    count: int = 0
    left_out: int = 0
    logged_ms: int = 0
    interval_ms: int = MIN_INTERVAL_MS

    def take(self, now_ms: int) -> int | None:
        """Counts a note.

        Returns:
            The number of notes left out before this one if it is to be logged;
            None if it is left out.
        """
        self.count += 1
        if self.count > FIRST_LINES:
            if now_ms - self.logged_ms < self.interval_ms:
                self.left_out += 1
                return None
            self.interval_ms = min(2 * self.interval_ms, MAX_INTERVAL_MS)
        left_out, self.left_out = self.left_out, 0
        self.logged_ms = now_ms
        return left_out


class ElectionLog:
    """Logs the notes of one replica about elections.

    Attributes:
        replica: ID of the replica.
    """

    def __init__(self, *, replica: str) -> None:
        self.replica = replica
        self._campaigns: dict[bool, _Lines] = {}
        self._refusals: dict[election_notes.Refusal, _Lines] = {}
        self._campaign_logged = False

    def record(self, note: election_notes.Note) -> None:
        """Logs a note, or counts it."""
        match note:
            case election_notes.CampaignStarted():
                self._log_started(note)
            case election_notes.CampaignEnded():
                self._log_ended(note)
            case election_notes.VoteRefused():
                self._log_refused(note)
            case election_notes.LeaderLost():
                self._forget_lines()
                events.log(
                    events.LEADER_LOST,
                    replica=self.replica,
                    term=note.term,
                    leader=note.leader,
                    silent_ms=note.silent_ms,
                    cause=str(note.loss),
                )
            case election_notes.LeaderFound():
                self._forget_lines()

    def _forget_lines(self) -> None:
        self._campaigns = {}
        self._refusals = {}

    def _log_started(self, note: election_notes.CampaignStarted) -> None:
        lines = self._campaigns.setdefault(note.pre, _Lines())
        left_out = lines.take(note.now_ms)
        self._campaign_logged = left_out is not None
        if left_out is None:
            return
        events.log(
            events.CAMPAIGN_STARTED,
            replica=self.replica,
            term=note.term,
            pre=note.pre,
            attempt=lines.count,
            left_out=left_out,
            voters=note.voters,
            quorum=note.quorum,
            contact_age_ms=note.contact_age_ms,
            last_index=note.last_index,
            last_term=note.last_term,
        )

    def _log_ended(self, note: election_notes.CampaignEnded) -> None:
        """Logs the end of a campaign whose start was logged."""
        if not self._campaign_logged:
            return
        self._campaign_logged = False
        events.log(
            events.CAMPAIGN_ENDED,
            replica=self.replica,
            term=note.term,
            pre=note.pre,
            cause=str(note.end),
            votes=note.votes,
            refusals=dict(note.refusals),
            unanswered=note.unanswered,
            quorum=note.quorum,
        )

    def _log_refused(self, note: election_notes.VoteRefused) -> None:
        lines = self._refusals.setdefault(note.refusal, _Lines())
        left_out = lines.take(note.now_ms)
        if left_out is None:
            return
        events.log(
            events.VOTE_REFUSED,
            replica=self.replica,
            candidate=note.candidate,
            address=note.address,
            term=note.term,
            pre=note.pre,
            reason=str(note.refusal),
            own_term=note.own_term,
            leader=note.leader,
            contact_age_ms=note.contact_age_ms,
            left_out=left_out,
        )
