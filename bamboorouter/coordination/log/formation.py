"""Forms a group from its first members.

Replica IDs are random, so the settings can't contain the first member list. The
replica whose address is first in `bootstrap` requests the IDs of all others. It
writes the first entry, the member list, only after every one of them has
answered that it belongs to no group. A replica that lost its data folder
therefore never forms a second group: another replica answers that a group
exists, and an operator must add the replica under its new ID.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.transport import link

IDENTIFY_PAUSE_MS: Final = 200
IDENTIFY_TIMEOUT_MS: Final = 1000


async def first_members(
    *, group: str, replica_id: str, address: str, bootstrap: tuple[str, ...]
) -> membership.Members | None:
    """Requests the IDs of the other first members until all have answered.

    Args:
        group: Name of the group.
        replica_id: ID of this replica.
        address: Address of this replica, one of `bootstrap`.
        bootstrap: Addresses of all first members.

    Returns:
        The first member list; None if a group exists already.
    """
    others = [other for other in bootstrap if other != address]
    while True:
        # All answers must be from the same round: a replica that answered in an
        # earlier one may have lost its data folder or joined a group since.
        answers = await asyncio.gather(
            *(_identify(group=group, address=other) for other in others)
        )
        answered = [answer for answer in answers if answer is not None]
        if any(answer.formed for answer in answered):
            events.log(events.WAITING_TO_JOIN, replica=replica_id)
            return None
        if len(answered) == len(others):
            break
        await asyncio.sleep(clock.seconds(IDENTIFY_PAUSE_MS))
    ids = {
        other: answer.replica
        for other, answer in zip(others, answered, strict=True)
    }
    ids[address] = replica_id
    return membership.Members(
        members=tuple(
            membership.Member(id=ids[member], address=member, voter=True)
            for member in bootstrap
        )
    )


async def _identify(*, group: str, address: str) -> messages.Identity | None:
    try:
        opened = await link.open_link(
            address=address, timeout_ms=IDENTIFY_TIMEOUT_MS
        )
    except errors.RouterError:
        return None
    try:
        reply = await opened.request(
            messages.Identify(group=group), timeout_ms=IDENTIFY_TIMEOUT_MS
        )
    except errors.RouterError:
        return None
    finally:
        await opened.close()
    return reply if isinstance(reply, messages.Identity) else None
