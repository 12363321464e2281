"""Operators' view of the control group: its members and the account.

The account is the record of all decisions. It is the replicated log itself, so
an explanation of a decision is read from the log.
"""

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

# An explanation reads the log in chunks of this size. The event loop runs other
# tasks between two chunks.
EXPLAIN_CHUNK_BYTES: Final = 64 * 1024
# A member that has not replied for this time is reported as silent. A follower
# replies to each heartbeat of the leader, so this is several missed replies.
SILENCE_TIMEOUT_MS: Final = 2000
METRICS_PERIOD_MS: Final = 1000
# Enough for the configuration changes of one day.
MAX_TRACKED_REVISIONS: Final = 1024


class ControlGroup:
    """Reports and changes the members of the group through one replica.

    Attributes:
        replica: This process's replica.
    """

    def __init__(self, *, local_replica: replica.Replica) -> None:
        self.replica = local_replica
        # Log index and new configuration revision of each change of revision.
        self._revision_history: collections.deque[tuple[int, int]] = (
            collections.deque(maxlen=MAX_TRACKED_REVISIONS)
        )
        self._subscription: reactivex.abc.DisposableBase | None = None
        self._publisher: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to track configuration revisions and to publish the lag."""
        self._track_revision(self.replica.status().applied)
        self._subscription = self.replica.applied.subscribe(
            self._track_revision
        )
        self._publisher = supervision.start(self._publish_lag)

    def stop(self) -> None:
        """Stops tracking and publishing."""
        if self._subscription is not None:
            self._subscription.dispose()
        if self._publisher is not None:
            self._publisher.cancel()

    async def _publish_lag(self) -> None:
        """Updates the metric of the followers' lag while this replica leads."""
        while True:
            metrics.REPLICA_LAG_ENTRIES.clear()
            if self.replica.lease_valid():
                for replica_id, lag in self.replica.status().lag.items():
                    metrics.REPLICA_LAG_ENTRIES.labels(replica_id).set(lag)
            await asyncio.sleep(clock.seconds(METRICS_PERIOD_MS))

    def members(self) -> list[dict[str, Any]]:
        """Returns the address, role and replication progress of each member."""
        status = self.replica.status()
        result: list[dict[str, Any]] = []
        for member in self.replica.members():
            is_self = member.id == status.id
            lag = 0 if is_self else status.lag.get(member.id)
            role = "voter" if member.voter else "learner"
            entry: dict[str, Any] = {
                "replica": member.id,
                "address": member.address,
                "role": "leader" if is_self else role,
                "lag": lag,
                "match_index": (
                    None if lag is None else status.last_index - lag
                ),
            }
            silent_ms = 0 if is_self else status.silent_ms.get(member.id)
            entry["silent"] = (
                silent_ms is None or silent_ms > SILENCE_TIMEOUT_MS
            )
            # A silent replica gets no revision, like a silent agent, because it
            # applies nothing and must not keep a change from counting as in
            # force everywhere. A follower applies all entries that it knows to
            # be committed.
            if lag is not None and not entry["silent"]:
                entry["applied_revision"] = self._revision_at(
                    status.applied if is_self else status.committed[member.id]
                )
            result.append(entry)
        return result

    def _track_revision(self, index: int) -> None:
        revision = self.replica.machine.config_revision
        if (
            not self._revision_history
            or self._revision_history[-1][1] != revision
        ):
            self._revision_history.append((index, revision))
            metrics.APPLIED_REVISION.set(revision)

    def _revision_at(self, index: int) -> int:
        """Returns the configuration revision after the entry at `index`."""
        return next(
            (
                revision
                for changed_at, revision in reversed(self._revision_history)
                if changed_at <= index
            ),
            0,
        )

    async def change_members(
        self, *, action: str, member: str, address: str, timeout_ms: int
    ) -> None:
        """Adds, promotes or removes one replica.

        Args:
            action: "add_learner" or "promote"; any other value removes.
            member: ID of the replica.
            address: Address of the replica; only used to add it.
            timeout_ms: Time in ms after which the result is unknown.

        Raises:
            RefusedError: The change isn't allowed now.
            NotLeaderError: This replica doesn't lead; nothing was changed.
            UnknownResultError: The change may still take effect.
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
        """Returns the explanation of a subject, read from the account.

        Args:
            arguments: "subject" and optionally "before".
        """
        log = self.replica.log
        explainer = account.Explainer(
            subject=str(arguments["subject"]),
            before=str(arguments.get("before") or ""),
        )
        # Results of commands are known only from a replay, which must begin
        # with the first entry. After old entries were removed from the log,
        # the explanation does without the results.
        applier = machine.Machine() if log.first_index == 1 else None
        index = log.first_index
        last = self.replica.status().applied
        while index <= last:
            entries = log.read(index, max_bytes=EXPLAIN_CHUNK_BYTES)
            for entry in entries:
                decoded = account.read_entry(entry, applier)
                if decoded is not None and entry.index <= last:
                    explainer.feed(decoded)
            index = entries[-1].index + 1
            await asyncio.sleep(0)
        return explainer.explanation().plain()
