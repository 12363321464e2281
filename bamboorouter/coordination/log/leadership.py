"""Publishes changes of leadership to subscribers, the event log and metrics."""

import reactivex
from reactivex import subject

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.coordination.log import replicated_log


class LeadershipFeed:
    """Publishes the leadership as one replica sees it.

    Attributes:
        current: The leadership last published.
        changes: Emits the current leadership and each change.
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
        """Publishes a leadership if it differs from the current one."""
        previous = self.current
        if (
            leads == previous.leads
            and term == previous.term
            and leader_address == previous.leader_address
        ):
            return
        self.current = replicated_log.Leadership(
            leads=leads, term=term, leader_address=leader_address
        )
        self._log(replica_id, previous)
        metrics.LEADS.set(int(leads))
        self._subject.on_next(self.current)

    def _log(
        self, replica_id: str, previous: replicated_log.Leadership
    ) -> None:
        current = self.current
        if current.leads and not previous.leads:
            events.log(
                events.LEADER_ELECTED, replica=replica_id, term=current.term
            )
        elif previous.leads and not current.leads:
            events.log(
                events.LEADER_STEPPED_DOWN,
                replica=replica_id,
                term=previous.term,
            )
        elif current.leader_address and not current.leads:
            events.log(
                events.LEADER_CHANGED,
                replica=replica_id,
                term=current.term,
                leader=current.leader_address,
            )
