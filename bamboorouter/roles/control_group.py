"""Members of the control group and the account, as operators ask for them."""

import asyncio
import collections
from typing import Any
from typing import Final

import reactivex.abc

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import metrics
from bamboorouter import supervision
from bamboorouter.coordination.log import replica
from bamboorouter.state import account
from bamboorouter.state import machine

# One step of an explanation; the loop serves others between two steps.
EXPLAIN_BYTES: Final = 64 * 1024
# Several heartbeats of the leader; a follower answers each.
SILENT_MS: Final = 2000
METRICS_PERIOD_MS: Final = 1000
# A day's changes.
MAX_REVISIONS: Final = 1024


class ControlGroup:
    """Shows and changes the members through one replica.

    Attributes:
        replica: This process's replica.
    """

    def __init__(self, *, own: replica.Replica) -> None:
        self.replica = own
        # Log index and configuration revision after each change of it.
        self._revisions: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_REVISIONS
        )
        self._subscription: reactivex.abc.DisposableBase | None = None
        self._publisher: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to follow which entry raised the configuration revision."""
        self._note_revision(self.replica.status().applied)
        self._subscription = self.replica.applied.subscribe(self._note_revision)
        self._publisher = supervision.start(self._publish_lag)

    def stop(self) -> None:
        """Stops following."""
        if self._subscription is not None:
            self._subscription.dispose()
        if self._publisher is not None:
            self._publisher.cancel()

    async def _publish_lag(self) -> None:
        """Keeps the metric of each follower's lag current while leading."""
        while True:
            metrics.REPLICA_LAG_ENTRIES.clear()
            if self.replica.lease_valid():
                for replica_id, lag in self.replica.status().lag.items():
                    metrics.REPLICA_LAG_ENTRIES.labels(replica_id).set(lag)
            await asyncio.sleep(clock.seconds(METRICS_PERIOD_MS))

    def members(self) -> list[dict[str, Any]]:
        """Returns each replica with its address, role and progress."""
        status = self.replica.status()
        found: list[dict[str, Any]] = []
        for member in self.replica.members():
            own = member.id == status.id
            lag = 0 if own else status.lag.get(member.id)
            role = "voter" if member.voter else "learner"
            entry: dict[str, Any] = {
                "replica": member.id,
                "address": member.address,
                "role": "leader" if own else role,
                "lag": lag,
                "match_index": (
                    None if lag is None else status.last_index - lag
                ),
            }
            silent_ms = 0 if own else status.silent_ms.get(member.id)
            entry["silent"] = silent_ms is None or silent_ms > SILENT_MS
            # A replica that is down applies nothing; like a silent agent it
            # must not keep a change from being in force everywhere.
            if lag is not None and not entry["silent"]:
                entry["applied_revision"] = self._revision_at(
                    status.applied if own else status.committed[member.id]
                )
            found.append(entry)
        return found

    def _note_revision(self, index: int) -> None:
        revision = self.replica.machine.config_revision
        if not self._revisions or self._revisions[-1][1] != revision:
            self._revisions.append((index, revision))
            metrics.APPLIED_REVISION.set(revision)

    def _revision_at(self, index: int) -> int:
        """Returns the revision that a replica has with this last entry."""
        return next(
            (
                revision
                for changed_at, revision in reversed(self._revisions)
                if changed_at <= index
            ),
            0,
        )

    async def change_members(
        self, *, action: str, member: str, address: str, timeout_ms: int
    ) -> None:
        """Adds, promotes or removes one replica.

        Raises:
            RefusedError: The change isn't allowed now.
            NotLeaderError: Nothing was changed.
            UnknownResultError: The change may be in force later.
        """
        try:
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                if action == "add_learner":
                    await self.replica.add_learner(member, address)
                elif action == "promote":
                    await self.replica.promote(member)
                else:
                    await self.replica.remove(member)
        except TimeoutError as err:
            raise errors.UnknownResultError(
                text=error_texts.text_for(error_texts.RESULT_UNKNOWN),
                step=action,
                peer=member,
            ) from err

    async def explain(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Explains a subject from the account."""
        log = self.replica.log
        explainer = account.Explainer(
            subject=str(arguments["subject"]),
            before=str(arguments.get("before") or ""),
        )
        # Without the beginning of the log a replay would differ.
        applier = machine.Machine() if log.first_index == 1 else None
        index = log.first_index
        last = self.replica.status().applied
        while index <= last:
            entries = log.read(index, max_bytes=EXPLAIN_BYTES)
            for entry in entries:
                decoded = account.read_entry(entry, applier)
                if decoded is not None and entry.index <= last:
                    explainer.feed(decoded)
            index = entries[-1].index + 1
            await asyncio.sleep(0)
        return explainer.explanation().plain()
