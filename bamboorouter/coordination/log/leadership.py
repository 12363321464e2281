"""Tells observers, the log lines and the metrics who leads."""

import reactivex
from reactivex import subject

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.coordination.log import replicated_log


class LeadershipFeed:
    """The current leadership as one replica sees it.

    Attributes:
        current: The leadership last announced.
        changes: Emits the current and each later leadership.
    """

    def __init__(self) -> None:
        self.current = replicated_log.Leadership(
            leads=False, term=0, leader_address=""
        )
        self._subject = subject.BehaviorSubject(self.current)
        self.changes: reactivex.Observable[replicated_log.Leadership] = (
            self._subject
        )

    def update(
        self, *, replica_id: str, leads: bool, term: int, leader_address: str
    ) -> None:
        """Announces a leadership, if it differs from the current one."""
        before = self.current
        if (
            leads == before.leads
            and term == before.term
            and leader_address == before.leader_address
        ):
            return
        self.current = replicated_log.Leadership(
            leads=leads, term=term, leader_address=leader_address
        )
        self._log(replica_id, before)
        metrics.LEADS.set(int(leads))
        self._subject.on_next(self.current)

    def _log(self, replica_id: str, before: replicated_log.Leadership) -> None:
        current = self.current
        if current.leads and not before.leads:
            events.log(
                events.LEADER_ELECTED, replica=replica_id, term=current.term
            )
        elif before.leads and not current.leads:
            events.log(
                events.LEADER_STEPPED_DOWN,
                replica=replica_id,
                term=before.term,
            )
        elif current.leader_address and not current.leads:
            events.log(
                events.LEADER_CHANGED,
                replica=replica_id,
                term=current.term,
                leader=current.leader_address,
            )
